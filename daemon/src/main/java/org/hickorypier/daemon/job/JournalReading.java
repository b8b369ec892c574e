package org.hickorypier.daemon.job;

/** How far an instance can rely on what it has read of the journal. */
public enum JournalReading {
  /** It was read to its end, and the log answers. */
  CURRENT,
  /** It is being read, as after a start; soon it will be current. */
  BEHIND,
  /** The log owes an answer for long. */
  SILENT
}
