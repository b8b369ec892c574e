package org.hickorypier.daemon.settings;

/** Parses the text of a setting. */
@FunctionalInterface
interface ValueParser<T> {

  /**
   * Parses a value.
   *
   * @param text the given text
   * @return the value
   * @throws UnusableValueException if the text is not an allowed value
   */
  T parse(String text) throws UnusableValueException;
}
