package org.hickorypier.core.model;

/**
 * The identity of a request or job: the caller's request id within its team.
 *
 * <p>Immutable. Two submissions with the same key are the same work, wherever they enter.
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
