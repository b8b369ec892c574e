package org.hickorypier.core.model;

/** How a request or job ended, as reported to callers, logs and metrics. */
public enum Outcome {
  /** It ran and its answer is complete. */
  COMPLETED("completed"),
  /** It ran and failed. */
  FAILED("failed"),
  /** It certainly did not run and never will under this id. */
  NOT_RUN("not run"),
  /** It may have run; the outcome cannot be determined. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /**
   * Returns the name reported to callers.
   *
   * @return the outcome in lower-case words
   */
  public String text() {
    return text;
  }
}
