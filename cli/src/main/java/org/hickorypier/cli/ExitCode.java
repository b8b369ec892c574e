package org.hickorypier.cli;

/** The exit codes of hickory, part of its interface to scripts. */
public enum ExitCode {
  /** Done, and in force everywhere if it was a change. */
  DONE(0, "done"),
  /** The daemon refused the statement, or the change came after another one to the same subject. */
  REFUSED(1, "refused, or a conflict with another change"),
  /** The flags or the statement are not well formed; nothing was sent. */
  USAGE(2, "wrong usage or syntax; nothing was sent"),
  /** No server answered. */
  UNREACHABLE(3, "no server could be reached"),
  /** The change was accepted, but some instances are behind. */
  NOT_IN_FORCE(4, "accepted, but not yet in force everywhere");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /**
   * Returns the code given to the operating system.
   *
   * @return 0 to 4
   */
  public int code() {
    return code;
  }

  /**
   * Returns what the code means.
   *
   * @return part of a sentence
   */
  public String meaning() {
    return meaning;
  }

  boolean isError() {
    return this != DONE && this != NOT_IN_FORCE;
  }
}
