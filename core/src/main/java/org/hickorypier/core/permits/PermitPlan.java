package org.hickorypier.core.permits;

import java.util.OptionalInt;

/**
 * The decision of one instance about its permits of one team.
 *
 * <p>Immutable.
 *
 * @param cap the maximum number of held permits that the instance uses, including permits granted
 *     later
 * @param request the number of permits to request in the log, or empty to request nothing
 * @param hasIdleExcess whether more permits are idle than the reserve needs
 */
public record PermitPlan(int cap, OptionalInt request, boolean hasIdleExcess) {}
