package org.hickorypier.core.journal;

/**
 * An attempt that may be running.
 *
 * <p>Immutable.
 *
 * @param attempt its number, from 1
 * @param owner the instance and incarnation that orders it
 * @param worker the worker
 * @param token the control token that the order carries
 */
public record OpenAttempt(int attempt, String owner, String worker, long token) {}
