package org.hickorypier.core.model;

/**
 * The final answer to work that is not run.
 *
 * <p>Immutable.
 *
 * @param reason why
 * @param detail a sentence for the caller
 * @param retryAfterMillis when to come back, in milliseconds from now; 0 if there is no use in it
 */
public record Refusal(RefusalReason reason, String detail, long retryAfterMillis) {}
