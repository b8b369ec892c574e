package org.hickorypier.daemon.settings;

/** A text that is no value of its setting. */
final class UnusableValueException extends Exception {

  UnusableValueException() {
    super("not an allowed value");
  }
}
