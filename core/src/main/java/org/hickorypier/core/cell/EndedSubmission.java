package org.hickorypier.core.cell;

import org.hickorypier.core.submission.SubmissionState;

/**
 * The archived form of an ended submission, kept while callers may query it. It takes a tenth of
 * the memory of an open submission, and a takeover decodes nothing of it.
 *
 * <p>Immutable by convention: the bytes of the specification must not be changed.
 *
 * @param customer its customer, or empty on a public queue
 * @param state the end state
 * @param endedAtMillis wall-clock time of its end, milliseconds since 1970
 * @param spec its encoded specification, without the text; decoded only if a worker still holds a
 *     run of it
 */
public record EndedSubmission(
    String customer, SubmissionState state, long endedAtMillis, byte[] spec) {}
