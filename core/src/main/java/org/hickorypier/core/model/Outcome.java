package org.hickorypier.core.model;

/** How a request or job ended, as told to callers, logs and metrics. */
public enum Outcome {
  /** It ran and its answer is whole. */
  COMPLETED("completed"),
  /** It ran and failed. */
  FAILED("failed"),
  /** It certainly did not run and never will under this id. */
  NOT_RUN("not run"),
  /** It may have run; nobody can tell. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /**
   * Returns the name used towards callers.
   *
   * @return the outcome in lower case words
   */
  public String text() {
    return text;
  }
}
