package org.hickorypier.core.model;

/**
 * The final answer to work that the scheduler does not run.
 *
 * <p>Immutable.
 *
 * @param reason why the work is not run
 * @param detail a sentence for the caller
 * @param retryAfterMillis when to retry, in milliseconds from now; 0 if a retry cannot succeed
 */
public record Refusal(RefusalReason reason, String detail, long retryAfterMillis) {}
