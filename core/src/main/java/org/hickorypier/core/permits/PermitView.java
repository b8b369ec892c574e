package org.hickorypier.core.permits;

import java.util.Map;
import java.util.OptionalInt;

/**
 * The input for planning the permits of one team at one instance.
 *
 * <p>Immutable.
 *
 * @param self this instance
 * @param team the team's permits as folded from the log
 * @param own this instance's demand
 * @param others the demand of each other live instance, from its digest
 * @param pendingRequest the number of permits last requested, or empty if no request is pending in
 *     the log
 * @param idleMillis the time in milliseconds for which more permits have been idle than the reserve
 *     needs
 */
public record PermitView(
    Holder self,
    TeamPermits team,
    PermitDemand own,
    Map<Holder, PermitDemand> others,
    OptionalInt pendingRequest,
    long idleMillis) {

  /** Copies the map, so that the record stays immutable. */
  public PermitView {
    others = Map.copyOf(others);
  }
}
