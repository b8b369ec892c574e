package org.hickorypier.core.scheduling;

import java.util.function.Predicate;

/** A condition on a worker besides its free resources, such as not being held for other work. */
@FunctionalInterface
interface WorkerFilter extends Predicate<WorkerState> {

  /** Accepts every worker. */
  WorkerFilter ANY = worker -> true;
}
