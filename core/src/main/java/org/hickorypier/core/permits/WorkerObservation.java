package org.hickorypier.core.permits;

import java.util.Optional;
import java.util.Set;

/**
 * What a worker said of itself when asked.
 *
 * <p>Immutable.
 *
 * @param worker the worker
 * @param controller who controls it, if anybody
 * @param owners who started the tasks that run on it
 */
public record WorkerObservation(String worker, Optional<Holder> controller, Set<Holder> owners) {

  /** Copies the set. */
  public WorkerObservation {
    owners = Set.copyOf(owners);
  }
}
