package org.hickorypier.core.fold;

/**
 * The outcome of the first record that carried an id.
 *
 * <p>Immutable.
 *
 * @param id the id of the record
 * @param offset the offset at which the record was folded
 * @param verdict the outcome for the record
 */
public record FoldedId(String id, long offset, Verdict verdict) {}
