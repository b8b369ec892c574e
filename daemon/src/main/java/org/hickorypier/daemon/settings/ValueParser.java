package org.hickorypier.daemon.settings;

/** Reads the text of a setting. */
@FunctionalInterface
interface ValueParser<T> {

  /**
   * Reads a value.
   *
   * @param text the text given
   * @return the value
   * @throws UnusableValueException if the text is no allowed value
   */
  T parse(String text) throws UnusableValueException;
}
