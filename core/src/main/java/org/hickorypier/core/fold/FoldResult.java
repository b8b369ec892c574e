package org.hickorypier.core.fold;

/**
 * The state after folding a record, and the outcome for the record.
 *
 * <p>Immutable if the state is.
 *
 * @param <S> the type of the state
 * @param state the state after the record
 * @param verdict the outcome for the record
 * @param reason the reason for the outcome, in human-readable form
 */
public record FoldResult<S>(S state, Verdict verdict, String reason) {}
