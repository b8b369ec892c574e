package org.hickorypier.core.journal;

/**
 * An attempt that may be running.
 *
 * <p>Immutable.
 *
 * @param attempt the number of the attempt, from 1
 * @param owner the instance and incarnation that orders the start
 * @param worker the name of the worker
 * @param token the control token that the order carries
 */
public record OpenAttempt(int attempt, String owner, String worker, long token) {}
