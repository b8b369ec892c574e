package org.hickorypier.core.cell.model;

/** The kinds of scenario that the model runs; each has its own work and planned events. */
enum ScenarioKind {

  /** Short tasks of a single priority, on workers that do not leave. */
  UNIFORM_WORK,

  /** Batches and urgent work, on workers that become slow or leave temporarily. */
  MIXED_PRIORITIES,

  /** Persistent and short tasks, while workers are replaced and ownership is handed over. */
  ROLLING_UPDATE,

  /** Tasks that crash the workers that start them, beside others, and capacities that change. */
  CRASHING_TASKS,

  /** Data centres that are evacuated and taken back, several at once among them. */
  EVACUATIONS,

  /** Workers that start again under their ids within a second, and are cut off soon after. */
  RESTARTED_WORKERS,

  /**
   * The same for all workers of a data centre at once, with the owner lost between the restart and
   * the cut.
   */
  RESTARTED_DATA_CENTRES,

  /** Cancellations that arrive before their submissions, or while these are being written. */
  EARLY_CANCELLATIONS
}
