package org.hickorypier.core.permits;

import java.util.Optional;
import java.util.Set;

/**
 * The controller and the task owners that a worker reported in reply to a status request.
 *
 * <p>Immutable.
 *
 * @param worker the worker
 * @param controller the holder that controls the worker, or empty if there is none
 * @param owners the holders that started the tasks running on the worker
 */
public record WorkerObservation(String worker, Optional<Holder> controller, Set<Holder> owners) {

  /** Copies the set, so that the record stays immutable. */
  public WorkerObservation {
    owners = Set.copyOf(owners);
  }
}
