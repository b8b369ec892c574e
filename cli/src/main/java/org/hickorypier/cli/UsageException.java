package org.hickorypier.cli;

/** Flags that cannot be used. */
final class UsageException extends Exception {

  UsageException(String message) {
    super(message);
  }
}
