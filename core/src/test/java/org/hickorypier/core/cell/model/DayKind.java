package org.hickorypier.core.cell.model;

/** What a day of the model consists of, beside its seeded faults. */
enum DayKind {

  /** Short work of one urgency, on workers that stay. */
  PLAIN,

  /** Batches beside urgent work, on workers that turn slow or leave for a while. */
  UNLIKE_WORK,

  /** Tasks that last beside short work; workers are replaced and the owner is handed over. */
  RELEASE
}
