package org.hickorypier.daemon.owner;

/**
 * How long an append is waited for before it is sent again, by how long the store has taken of
 * late.
 *
 * <p>Failure: an answer of the store is lost, or its connection is silent for good while new ones
 * work. Symptom: callers wait for an append that will never be answered; with a fixed wait of 1.5 s
 * all of them miss their objective. Safeguard: the append, which is idempotent, is sent again over
 * a new connection after a few times the usual answer. It is enough because a store that has turned
 * slow shows so by its first answer, and each further attempt waits twice as long. Belongs to the
 * control thread.
 */
final class AppendTimeout {

  /**
   * The store takes 6 ms with the append itself, and 360 ms when it turns sixty times slower
   * without warning. With 350 ms each append was sent twice then, and its connections were given
   * up.
   */
  static final long LEAST_MILLIS = 500;

  /** Longer than the slowest answer that was seen, 0.9 s. */
  static final long MOST_MILLIS = 1_500;

  /** Answers vary by a factor of two or so while the store has a queue. */
  private static final int TIMES_THE_SLOWEST = 3;

  /** Each quicker answer counts so much: after a slow spell 20 answers bring the wait down. */
  private static final double DECAY = 0.95;

  private static final int MOST_DOUBLINGS = 3;

  private double slowest;

  /**
   * Notes an answer to an append that was sent once.
   *
   * @param millis how long it took
   */
  void answered(long millis) {
    slowest = Math.max(millis, slowest * DECAY);
  }

  /**
   * Notes that an append had no answer in time. If nothing else had one meanwhile, the store is
   * slow rather than an answer lost.
   *
   * @param waitedMillis how long it was waited for
   * @param sinceAnswerMillis how long ago the store answered anything
   */
  void unanswered(long waitedMillis, long sinceAnswerMillis) {
    if (sinceAnswerMillis >= waitedMillis) {
      answered(waitedMillis);
    }
  }

  /**
   * Returns how long to wait.
   *
   * @param attempt the number of the attempt, from 1
   * @return milliseconds
   */
  long millis(int attempt) {
    long wait = Math.max(LEAST_MILLIS, Math.round(TIMES_THE_SLOWEST * slowest));
    return Math.min(MOST_MILLIS, wait << Math.min(MOST_DOUBLINGS, attempt - 1));
  }
}
