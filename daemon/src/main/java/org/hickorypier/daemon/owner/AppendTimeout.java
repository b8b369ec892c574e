package org.hickorypier.daemon.owner;

/**
 * The time after which an append without an answer is sent again, derived from the recent response
 * times of the store.
 *
 * <p>Failure: an answer of the store is lost, or its connection is silent for good while new ones
 * work. Callers would wait for an append that is never answered; with a fixed timeout of 1.5 s all
 * of them miss their objective. The append, which is idempotent, is therefore sent again over a new
 * connection after a small multiple of the usual response time. A store that has become slow shows
 * it by its first answer, and each further attempt waits twice as long. Confined to the control
 * thread.
 */
final class AppendTimeout {

  /**
   * The store takes 6 ms with the append itself, and 360 ms when it becomes sixty times slower
   * without warning. With 350 ms each append was sent twice in that case, and the connections to
   * the store were given up.
   */
  static final long MIN_TIMEOUT_MILLIS = 500;

  /** Longer than the slowest answer seen, 0.9 s. */
  static final long MAX_TIMEOUT_MILLIS = 1_500;

  /** Response times vary by a factor of about two while the store has a queue. */
  private static final int SLOWEST_ANSWER_FACTOR = 3;

  /**
   * The factor by which each quicker answer lowers the slowest response time: 20 answers after a
   * slow period bring the timeout down again.
   */
  private static final double DECAY = 0.95;

  private static final int MAX_DOUBLINGS = 3;

  private double slowestMillis;

  /**
   * Records the answer to an append that was sent once.
   *
   * @param millis the response time, in milliseconds
   */
  void recordAnswer(long millis) {
    slowestMillis = Math.max(millis, slowestMillis * DECAY);
  }

  /**
   * Records that an append had no answer in time. If the store has answered nothing else meanwhile,
   * it counts as slow; otherwise only this answer was lost.
   *
   * @param waitedMillis how long the append was waited for, in milliseconds
   * @param sinceAnswerMillis how long ago the store last answered anything, in milliseconds
   */
  void recordTimeout(long waitedMillis, long sinceAnswerMillis) {
    if (sinceAnswerMillis >= waitedMillis) {
      recordAnswer(waitedMillis);
    }
  }

  /**
   * Returns how long an attempt waits for its answer.
   *
   * @param attempt the number of the attempt, from 1
   * @return the timeout, in milliseconds
   */
  long timeoutMillis(int attempt) {
    long wait = Math.max(MIN_TIMEOUT_MILLIS, Math.round(SLOWEST_ANSWER_FACTOR * slowestMillis));
    return Math.min(MAX_TIMEOUT_MILLIS, wait << Math.min(MAX_DOUBLINGS, attempt - 1));
  }
}
