package org.hickorypier.daemon.operator;

/** A change that makes no sense with the configuration in force. */
final class UnusableChangeException extends Exception {

  UnusableChangeException(String message) {
    super(message);
  }
}
