package org.hickorypier.core.routing;

import org.hickorypier.core.model.Resources;

/**
 * What a peer's digest says of its room.
 *
 * <p>Immutable.
 *
 * @param acceptsWork whether it takes new work
 * @param free what is free on its workers, added up
 * @param freeSlots slots free on its workers, added up
 * @param waitingTasks tasks that wait there already
 */
public record PeerCapacity(boolean acceptsWork, Resources free, int freeSlots, int waitingTasks) {

  /**
   * Returns how many tasks of a size have room, by the sums alone.
   *
   * @param size what one task declares
   * @return the number of tasks; the peer may still refuse, as the room may be in pieces
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
