package org.hickorypier.core.cell.model;

/** What a day of the model consists of, beside its seeded faults. */
enum ScenarioKind {

  /** Short work of one urgency, on workers that stay. */
  UNIFORM_WORK,

  /** Batches beside urgent work, on workers that turn slow or leave for a while. */
  MIXED_PRIORITIES,

  /** Tasks that last beside short work; workers are replaced and the owner is handed over. */
  ROLLING_UPDATE
}
