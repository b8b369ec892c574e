package org.hickorypier.core.permits;

/**
 * What one holder holds of one team.
 *
 * <p>Immutable.
 *
 * @param count the number of permits
 * @param raisedAt the offset of the record that last raised it
 */
public record HeldPermits(int count, long raisedAt) {}
