package org.hickorypier.daemon.log;

/** A record was not read back. */
public final class LogAppendException extends Exception {

  /** Whether the record may be in the log. */
  public enum Fate {
    /** It was never sent, and never will be. */
    NOT_APPENDED,
    /** It was sent and may be in the log or still arrive there. */
    UNKNOWN
  }

  private final Fate fate;

  LogAppendException(Fate fate, String message) {
    super(message);
    this.fate = fate;
  }

  /**
   * Returns whether the record may be in the log.
   *
   * @return the fate
   */
  public Fate fate() {
    return fate;
  }
}
