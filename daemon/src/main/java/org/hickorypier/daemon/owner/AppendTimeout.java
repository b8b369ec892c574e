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
  static final long MIN_TIMEOUT_MILLIS = 500;

  /** Longer than the slowest answer that was seen, 0.9 s. */
  static final long MAX_TIMEOUT_MILLIS = 1_500;

  /** Answers vary by a factor of two or so while the store has a queue. */
  private static final int SLOWEST_ANSWER_FACTOR = 3;

  /** Each quicker answer counts so much: after a slow spell 20 answers bring the wait down. */
  private static final double DECAY = 0.95;

  private static final int MAX_DOUBLINGS = 3;

  private double slowestMillis;

  /**
   * Notes an answer to an append that was sent once.
   *
   * @param millis how long it took
   */
  void recordAnswer(long millis) {
    slowestMillis = Math.max(millis, slowestMillis * DECAY);
  }

  /**
   * Notes that an append had no answer in time. If nothing else had one meanwhile, the store is
   * slow rather than an answer lost.
   *
   * @param waitedMillis how long it was waited for
   * @param sinceAnswerMillis how long ago the store answered anything
   */
  void recordTimeout(long waitedMillis, long sinceAnswerMillis) {
    if (sinceAnswerMillis >= waitedMillis) {
      recordAnswer(waitedMillis);
    }
  }

  /**
   * Returns how long to wait.
   *
   * @param attempt the number of the attempt, from 1
   * @return milliseconds
   */
  long timeoutMillis(int attempt) {
    long wait = Math.max(MIN_TIMEOUT_MILLIS, Math.round(SLOWEST_ANSWER_FACTOR * slowestMillis));
    return Math.min(MAX_TIMEOUT_MILLIS, wait << Math.min(MAX_DOUBLINGS, attempt - 1));
  }
}
