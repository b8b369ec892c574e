package org.hickorypier.core.routing;

import org.hickorypier.core.model.Resources;

/**
 * The free capacity that a peer's digest reports.
 *
 * <p>Immutable.
 *
 * @param acceptsWork whether the peer accepts new work
 * @param free the total of the free resources on its workers
 * @param freeSlots the total of the free slots on its workers
 * @param waitingTasks the number of tasks that already wait there
 */
public record PeerCapacity(boolean acceptsWork, Resources free, int freeSlots, int waitingTasks) {

  /**
   * Returns how many tasks of a size fit, according to the totals.
   *
   * @param size the resources that one task declares
   * @return the number of tasks; the peer may still refuse, as its capacity may be fragmented
   */
  public long tasksThatFit(Resources size) {
    long fitting = acceptsWork ? freeSlots : 0;
    fitting = Math.min(fitting, quotient(free.milliProcessors(), size.milliProcessors()));
    fitting = Math.min(fitting, quotient(free.memoryMebibytes(), size.memoryMebibytes()));
    return Math.min(fitting, quotient(free.accelerators(), size.accelerators()));
  }

  private static long quotient(long free, long each) {
    return each == 0 ? Long.MAX_VALUE : free / each;
  }
}
