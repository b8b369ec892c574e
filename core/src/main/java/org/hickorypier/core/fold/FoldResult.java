package org.hickorypier.core.fold;

/**
 * The state after a record, and what became of the record.
 *
 * <p>Immutable if the state is.
 *
 * @param <S> the state
 * @param state the state after the record
 * @param verdict what became of the record
 * @param reason the reason, for people
 */
public record FoldResult<S>(S state, Verdict verdict, String reason) {}
