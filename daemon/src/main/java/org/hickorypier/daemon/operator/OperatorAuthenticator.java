package org.hickorypier.daemon.operator;

/** Tells operators from others. Called on the control thread. */
@FunctionalInterface
public interface OperatorAuthenticator {

  /**
   * Checks a key.
   *
   * @param presented what was presented as {@code keyId.secret}, empty if nothing
   * @return true if it is an operator's key in force; never for a team's key
   */
  boolean isOperator(String presented);
}
