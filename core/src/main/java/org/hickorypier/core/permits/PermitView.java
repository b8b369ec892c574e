package org.hickorypier.core.permits;

import java.util.Map;
import java.util.OptionalInt;

/**
 * What one instance knows of one team when it plans its permits.
 *
 * <p>Immutable.
 *
 * @param self this instance
 * @param team the team's permits as folded
 * @param own this instance's demand
 * @param others the demand of the other live instances, from their digests
 * @param pendingRequest the number last asked for and not yet read back
 * @param idleMillis for how long more permits have been idle than are kept in reserve
 */
public record PermitView(
    Holder self,
    TeamPermits team,
    PermitDemand own,
    Map<Holder, PermitDemand> others,
    OptionalInt pendingRequest,
    long idleMillis) {

  /** Copies the map. */
  public PermitView {
    others = Map.copyOf(others);
  }
}
