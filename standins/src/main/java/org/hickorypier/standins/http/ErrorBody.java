package org.hickorypier.standins.http;

/**
 * An error that names no kind of refusal.
 *
 * <p>Immutable.
 *
 * @param error one sentence for people
 */
record ErrorBody(String error) {}
