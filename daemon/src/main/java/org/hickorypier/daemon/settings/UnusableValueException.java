package org.hickorypier.daemon.settings;

/** Thrown when a text is not an allowed value of its setting. */
final class UnusableValueException extends Exception {

  UnusableValueException() {
    super("not an allowed value");
  }
}
