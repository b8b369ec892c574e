package org.hickorypier.core.submission;

/**
 * Durable account of what is known of the pace of a task that was moved to another worker, or that
 * takes long on any worker.
 *
 * <p>Immutable.
 *
 * @param moves number of times that the task was moved away from a slow worker, from 0 to {@link
 *     #MAX_MOVES}
 * @param longByItself whether the task was found to be long by itself
 */
public record MoveRecord(int moves, boolean longByItself) {

  /** The largest number of moves that a record holds. */
  public static final int MAX_MOVES = 100;

  /**
   * Checks the number of moves.
   *
   * @throws IllegalArgumentException if it is out of range
   */
  public MoveRecord {
    if (moves < 0 || moves > MAX_MOVES) {
      throw new IllegalArgumentException(
          "moves of a task must be from 0 to " + MAX_MOVES + ", not " + moves);
    }
  }
}
