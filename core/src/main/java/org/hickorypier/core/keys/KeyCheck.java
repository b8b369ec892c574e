package org.hickorypier.core.keys;

/**
 * The result of checking a presented key.
 *
 * <p>Immutable.
 *
 * @param status whether the key is valid
 * @param keyId the public part of the key, empty if unknown
 * @param team the name of the team that a valid key belongs to; empty for an operator's key
 */
public record KeyCheck(KeyStatus status, String keyId, String team) {

  /**
   * Tells whether the key is in force.
   *
   * @return true if the status is {@link KeyStatus#VALID}
   */
  public boolean isValid() {
    return status == KeyStatus.VALID;
  }

  /**
   * Tells whether the key belongs to an operator.
   *
   * @return true if it is in force and belongs to no team
   */
  public boolean isOperator() {
    return isValid() && team.isEmpty();
  }
}
