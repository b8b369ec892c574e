package org.hickorypier.core.routing;

import org.hickorypier.core.model.Resources;

/**
 * What a peer's digest says of its room.
 *
 * <p>Immutable.
 *
 * @param taking whether it takes new work
 * @param free what is free on its workers, added up
 * @param slots slots free on its workers, added up
 * @param waiting tasks that wait there already
 */
public record PeerRoom(boolean taking, Resources free, int slots, int waiting) {

  /**
   * Returns how many tasks of a size have room, by the sums alone.
   *
   * @param size what one task declares
   * @return the number of tasks; the peer may still refuse, as the room may be in pieces
   */
  public long tasksThatFit(Resources size) {
    long fitting = taking ? slots : 0;
    fitting = Math.min(fitting, quotient(free.milliProcessors(), size.milliProcessors()));
    fitting = Math.min(fitting, quotient(free.memoryMebibytes(), size.memoryMebibytes()));
    return Math.min(fitting, quotient(free.accelerators(), size.accelerators()));
  }

  private static long quotient(long free, long each) {
    return each == 0 ? Long.MAX_VALUE : free / each;
  }
}
