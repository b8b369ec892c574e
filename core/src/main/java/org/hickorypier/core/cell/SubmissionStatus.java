package org.hickorypier.core.cell;

import org.hickorypier.core.submission.SubmissionState;

/**
 * The status of a submission that callers may see.
 *
 * <p>Immutable.
 *
 * @param customer its customer, or empty on a public queue
 * @param state the visible state
 * @param durable whether the submission is durable, so that it may be acknowledged
 */
public record SubmissionStatus(String customer, SubmissionState state, boolean durable) {}
