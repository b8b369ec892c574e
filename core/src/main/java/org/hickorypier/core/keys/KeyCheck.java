package org.hickorypier.core.keys;

/**
 * What a presented key opens.
 *
 * <p>Immutable.
 *
 * @param status whether it opens anything
 * @param keyId the public part, empty if unknown
 * @param team the team's name if valid, empty for operators' keys
 */
public record KeyCheck(KeyStatus status, String keyId, String team) {

  /**
   * Tells whether the key is one in force.
   *
   * @return true if so
   */
  public boolean isValid() {
    return status == KeyStatus.VALID;
  }

  /**
   * Tells whether the key is an operator's.
   *
   * @return true if it is in force and belongs to no team
   */
  public boolean isOperator() {
    return isValid() && team.isEmpty();
  }
}
