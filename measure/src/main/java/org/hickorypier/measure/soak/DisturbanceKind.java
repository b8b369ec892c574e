package org.hickorypier.measure.soak;

import java.util.EnumSet;
import java.util.List;

/** What a soak does to the processes, connections, clocks and services of a small cluster. */
enum DisturbanceKind {
  /** An instance is killed, and starts again after the length. */
  KILL_INSTANCE,
  /** All instances are killed at once, and start again after the length. */
  KILL_ALL,
  /** An instance is told to shut down; callers go on using it until it is gone. */
  TERMINATE_INSTANCE,
  /** An instance is stopped and goes on after the length. */
  PAUSE_INSTANCE,
  /** The time of day of an instance jumps, and back after the length. */
  STEP_CLOCK,
  /** The store refuses the connections of one instance. */
  STORE_REFUSES_INSTANCE,
  /** The store's connections to one instance go silent. */
  STORE_SILENT_FOR_INSTANCE,
  /** The store answers no instance. */
  STORE_SILENT,
  /** The store carries appends out and loses the answers. */
  STORE_LOSES_ANSWERS,
  /** The store breaks appends off and carries them out seconds later. */
  STORE_LATE,
  /** The store takes long. */
  STORE_SLOW,
  /** The store forgets its history; the newest record of each key stays. */
  STORE_FORGETS,
  /** A worker crashes and comes back under its id, empty. */
  CRASH_WORKER,
  /** A worker can be reached by nobody, and runs on. */
  CUT_WORKER,
  /** A worker hears orders, and its answers are lost. */
  CUT_ANSWERS_OF_WORKER,
  /** A worker breaks orders off and carries them out seconds later. */
  WORKER_LATE,
  /** A worker fails all that it starts. */
  WORKER_FAILS_ALL,
  /** The other instances cannot reach one over its links. */
  CUT_LINKS,
  /** The links to an instance are slow. */
  DELAY_LINKS,
  /** The callers' connections to an instance are reset. */
  RESET_CALLERS,
  /** The operator withdraws a customer's key and gives another. */
  CHANGE_KEY,
  /**
   * A worker says that it drains, goes on for the length, and leaves for good; another one takes
   * its place at once, under an id and an address of its own.
   */
  RELEASE_WORKER,
  /** A worker's capacity shrinks, and grows again after the length. */
  SHRINK_WORKER,
  /**
   * All workers of a data centre crash without a sign and come back under their ids, empty; calls
   * that were sent to them meanwhile reach the next incarnation.
   */
  RESTART_DATA_CENTRE,
  /** No worker of a data centre can be reached, nor reach the store; they run on. */
  CUT_DATA_CENTRE,
  /** The owner is killed, and starts again after the length. */
  KILL_OWNER,
  /** The owner is stopped and goes on after the length. */
  PAUSE_OWNER;

  /** What {@link DisturbancePlan} draws from; the kinds from RELEASE_WORKER have own plans. */
  static final List<DisturbanceKind> USUAL = List.copyOf(EnumSet.range(KILL_INSTANCE, CHANGE_KEY));

  private static final EnumSet<DisturbanceKind> PLANNED =
      EnumSet.of(TERMINATE_INSTANCE, CHANGE_KEY, RELEASE_WORKER, SHRINK_WORKER);

  /** Tells whether it is planned work, which excuses nothing. */
  boolean planned() {
    return PLANNED.contains(this);
  }
}
