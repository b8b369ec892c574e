package org.hickorypier.core.permits;

import java.util.OptionalInt;

/**
 * What one instance does with its permits of one team now.
 *
 * <p>Immutable.
 *
 * @param cap how many of the permits it holds it uses, those granted later too
 * @param request the number of permits to ask for in the log, if any
 * @param hasIdleExcess whether more permits are idle than are kept in reserve
 */
public record PermitPlan(int cap, OptionalInt request, boolean hasIdleExcess) {}
