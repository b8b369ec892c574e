package org.hickorypier.core.scheduling;

import java.util.function.Predicate;

/** A condition on a worker beyond its room, such as not being kept free for other work. */
@FunctionalInterface
interface WorkerFilter extends Predicate<WorkerState> {

  /** Allows every worker. */
  WorkerFilter ANY = worker -> true;
}
