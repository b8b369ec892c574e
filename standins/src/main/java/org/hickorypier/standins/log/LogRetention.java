package org.hickorypier.standins.log;

/**
 * How long a stream keeps its records.
 *
 * <p>Immutable.
 *
 * @param records the largest number of records
 * @param ageMillis the largest age of a record
 */
public record LogRetention(int records, long ageMillis) {

  /** An hour, and no more than a process with a small heap can keep. */
  public static final LogRetention USUAL = new LogRetention(50_000, 3_600_000);
}
