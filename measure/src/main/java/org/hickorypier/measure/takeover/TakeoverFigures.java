package org.hickorypier.measure.takeover;

import java.util.List;
import java.util.Locale;

/**
 * What a takeover measurement found. All but the times should be 0.
 *
 * <p>Immutable.
 *
 * @param requests how many requests were made
 * @param answered how many got their whole answer
 * @param notRun how many were refused as not run
 * @param unknown how many non-idempotent requests ended with an unknown outcome, as is allowed
 * @param lost how many got neither an answer nor a refusal
 * @param wrong how many were told "completed" with less than their whole answer, or another's
 * @param doubled how many pieces of work ran twice at once, or twice though non-idempotent
 * @param untrueNotRun how many were refused as not run although they ran
 * @param overLimit how many tasks above their limits the teams ran at the worst moment
 * @param overCapacity how many workers held more than they have
 * @param kills how many instances were killed
 * @param pauses how many instances were paused
 * @param longestWithoutServiceMillis the longest time in which no request was answered
 * @param slowestAnswerMillis the longest time from a request to its answer, repetitions included
 * @param examples a few of the cases that should not be, for the search
 */
public record TakeoverFigures(
    int requests,
    int answered,
    int notRun,
    int unknown,
    int lost,
    int wrong,
    int doubled,
    int untrueNotRun,
    int overLimit,
    int overCapacity,
    int kills,
    int pauses,
    long longestWithoutServiceMillis,
    long slowestAnswerMillis,
    List<String> examples) {

  /** Copies the list. */
  public TakeoverFigures {
    examples = List.copyOf(examples);
  }

  /**
   * Tells whether no promise was broken.
   *
   * @return true if every count of a violation is 0
   */
  public boolean allKept() {
    return lost + wrong + doubled + untrueNotRun + overLimit + overCapacity == 0;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "requests %d, answered %d, not run %d, unknown %d, lost %d, wrong %d, doubled %d,"
            + " untrue not run %d, over limit %d, over capacity %d, kills %d, pauses %d,"
            + " longest without service %d ms, slowest answer %d ms, examples %s",
        requests,
        answered,
        notRun,
        unknown,
        lost,
        wrong,
        doubled,
        untrueNotRun,
        overLimit,
        overCapacity,
        kills,
        pauses,
        longestWithoutServiceMillis,
        slowestAnswerMillis,
        examples);
  }
}
