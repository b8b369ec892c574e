package org.hickorypier.core.fold;

/**
 * What became of the record that first carried an id.
 *
 * <p>Immutable.
 *
 * @param id the id
 * @param offset the offset at which it was folded
 * @param verdict what became of it
 */
public record FoldedId(String id, long offset, Verdict verdict) {}
