package org.hickorypier.standins.log;

/** The names of the log service's calls in fault plans. */
public final class LogOperations {

  /** Appending records. */
  public static final String APPEND = "append";

  /** Reading records. */
  public static final String READ = "read";

  /** Asking for the range. */
  public static final String RANGE = "range";

  private LogOperations() {}
}
