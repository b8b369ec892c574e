package org.hickorypier.language;

import java.util.Locale;

/** What can be drained. */
public enum DrainTarget {
  /** An instance of hickorypier. */
  INSTANCE,
  /** A worker of the platform. */
  WORKER;

  /**
   * Returns the word used in statements.
   *
   * @return the name in lower case
   */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
