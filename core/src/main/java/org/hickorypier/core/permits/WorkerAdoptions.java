package org.hickorypier.core.permits;

import java.util.HashMap;
import java.util.Map;

/**
 * The last controller of a worker that was folded, and the holders that adopted tasks on it.
 *
 * <p>Immutable.
 *
 * @param token the highest control token of a folded adoption record, 0 if there is none
 * @param controller the holder that appended that record
 * @param offset the offset of that record
 * @param adopters the adopter of the tasks of each failed owner
 */
public record WorkerAdoptions(
    long token, Holder controller, long offset, Map<Holder, Holder> adopters) {

  static final WorkerAdoptions NONE = new WorkerAdoptions(0, new Holder("", 0), -1, Map.of());

  /** Copies the map, so that the record stays immutable. */
  public WorkerAdoptions {
    adopters = Map.copyOf(adopters);
  }

  /**
   * Returns the holder whose permits cover an owner's tasks on this worker.
   *
   * @param owner the holder that started the tasks
   * @return the adopter, or the owner itself
   */
  public Holder holderOf(Holder owner) {
    return adopters.getOrDefault(owner, owner);
  }

  // A controller that was paused before it appended its adoption record is superseded if the worker
  // has granted a higher token since: the tasks now belong to another controller.
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
