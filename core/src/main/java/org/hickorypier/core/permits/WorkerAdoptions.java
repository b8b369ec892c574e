package org.hickorypier.core.permits;

import java.util.HashMap;
import java.util.Map;

/**
 * Who spoke last for a worker, and who holds the permits of the adopted tasks on it.
 *
 * <p>Immutable.
 *
 * @param token the highest control token spoken under
 * @param controller who spoke
 * @param offset the offset of its record
 * @param adopters the adopter of the tasks of each owner that is gone
 */
public record WorkerAdoptions(
    long token, Holder controller, long offset, Map<Holder, Holder> adopters) {

  static final WorkerAdoptions NONE = new WorkerAdoptions(0, new Holder("", 0), -1, Map.of());

  /** Copies the map. */
  public WorkerAdoptions {
    adopters = Map.copyOf(adopters);
  }

  /**
   * Returns who holds the permits of an owner's tasks on this worker.
   *
   * @param owner who started them
   * @return the adopter, or the owner itself
   */
  public Holder holderOf(Holder owner) {
    return adopters.getOrDefault(owner, owner);
  }

  // A controller that was paused before it could say what it had adopted speaks too late when the
  // worker has granted a higher token since: the tasks are another's by now.
  boolean isSuperseded(long otherToken, Holder other) {
    return otherToken < token || otherToken == token && !other.equals(controller);
  }

  WorkerAdoptions withController(long newToken, Holder newController, long newOffset) {
    return new WorkerAdoptions(newToken, newController, newOffset, adopters);
  }

  WorkerAdoptions withAdopter(Holder adopter, Holder owner) {
    Map<Holder, Holder> next = new HashMap<>(adopters);
    next.put(owner, adopter);
    return new WorkerAdoptions(token, controller, offset, next);
  }

  WorkerAdoptions withoutAdopter(Holder adopter) {
    Map<Holder, Holder> next = new HashMap<>(adopters);
    next.values().removeIf(adopter::equals);
    return new WorkerAdoptions(token, controller, offset, next);
  }
}
