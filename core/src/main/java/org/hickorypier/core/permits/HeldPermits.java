package org.hickorypier.core.permits;

/**
 * The permits of one team that one holder has.
 *
 * <p>Immutable.
 *
 * @param count the number of permits
 * @param raisedAt the offset of the record that last raised the count
 */
public record HeldPermits(int count, long raisedAt) {}
