package org.hickorypier.measure.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * What a caller got. The bytes must not be changed.
 *
 * @param status the HTTP status, 0 if the connection broke
 * @param outcome the outcome that the answer names, empty if none
 * @param body the body
 */
public record CallerAnswer(int status, String outcome, byte[] body) {

  /** The outcome of work that ran to its end. */
  public static final String COMPLETED = "completed";

  /** The outcome of work that certainly did not run. */
  public static final String NOT_RUN = "not run";

  static final CallerAnswer BROKEN = new CallerAnswer(0, "", new byte[0]);

  /** What follows the request id in a task id: the attempt, or for journaled work its task. */
  private static final String ENDS_OF_REQUEST_ID = "~@";

  private static final int OK = 200;
  private static final int SHOWN_BYTES = 200;

  /**
   * Tells whether the work is reported as completed.
   *
   * @return true if so
   */
  public boolean completed() {
    return status == OK && outcome.equals(COMPLETED);
  }

  /**
   * Tells whether the work is reported as not run.
   *
   * @return true if so
   */
  public boolean notRun() {
    return outcome.equals(NOT_RUN);
  }

  /**
   * Tells whether a completed answer is the whole answer to this very request.
   *
   * @param team the caller's team
   * @param form what was asked
   * @return false if it is another's answer, or cut short
   */
  public boolean answers(String team, RequestForm form) {
    byte[] start = ("task " + team + "~" + form.requestId()).getBytes(StandardCharsets.UTF_8);
    return body.length > Math.max(start.length, form.payload().answerBytes() - 1)
        && Arrays.equals(start, 0, start.length, body, 0, start.length)
        && ENDS_OF_REQUEST_ID.indexOf(body[start.length]) >= 0;
  }

  /**
   * Returns the answer in words, for reports of failures.
   *
   * @return status, outcome and the start of the body
   */
  public String text() {
    int shown = Math.min(body.length, SHOWN_BYTES);
    return status + " " + outcome + " " + new String(body, 0, shown, StandardCharsets.UTF_8);
  }
}
