package org.hickorypier.core.model;

/**
 * Identifies a request or job by the caller's request id within its team.
 *
 * <p>Immutable. Two submissions with the same key are the same work, whichever instance receives
 * them.
 *
 * @param team the team's name
 * @param requestId the id that the caller chose
 */
public record WorkKey(String team, String requestId) {

  @Override
  public String toString() {
    return team + "/" + requestId;
  }
}
