package org.hickorypier.cli.client;

/**
 * Why one server gave no answer.
 *
 * <p>Immutable.
 *
 * @param server the server
 * @param reason the end of a sentence that begins with the server
 * @param mayHaveTakenEffect whether the server may have carried out the statement
 */
public record ServerFailure(ServerAddress server, String reason, boolean mayHaveTakenEffect) {}
