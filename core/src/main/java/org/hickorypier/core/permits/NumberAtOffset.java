package org.hickorypier.core.permits;

/**
 * A sequence or incarnation number and the offset of the record that set it.
 *
 * <p>Immutable.
 *
 * @param number the last sequence number of a holder, or the highest fenced incarnation of an
 *     instance
 * @param offset the offset of the record that set the number
 */
public record NumberAtOffset(long number, long offset) {}
