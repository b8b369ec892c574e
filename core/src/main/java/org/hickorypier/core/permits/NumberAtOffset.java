package org.hickorypier.core.permits;

/**
 * The last word on a holder or an incarnation.
 *
 * <p>Immutable.
 *
 * @param number the last sequence number, or the highest retired incarnation
 * @param offset the offset of the record that said so
 */
public record NumberAtOffset(long number, long offset) {}
