package org.hickorypier.standins.store;

/**
 * The conditions of an append.
 *
 * <p>Immutable.
 *
 * @param expectedEnd the end that the partition must have, or -1 for any
 * @param producer the writer's name
 * @param epoch the writer's epoch
 * @param sequence the append's number within the epoch
 */
public record AppendTerms(long expectedEnd, String producer, long epoch, long sequence) {

  /** Without any condition. */
  public static final AppendTerms NONE = new AppendTerms(-1, "", 0, 0);
}
