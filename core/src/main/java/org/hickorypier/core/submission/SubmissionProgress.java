package org.hickorypier.core.submission;

import java.util.BitSet;
import java.util.List;
import java.util.Map;

/**
 * What must outlast the owner of a submission beside what its caller handed in.
 *
 * <p>Immutable by convention: the bit sets are copies that nobody changes.
 *
 * @param state the state, as far as it is an end state; {@link SubmissionState#QUEUED} or {@link
 *     SubmissionState#RUNNING} otherwise
 * @param endedAtMillis time of day of the end state, milliseconds since 1970; 0 before
 * @param completedTasks the tasks that have ended well, by occurrence and step in one list
 * @param failedRuns numbers of the failed runs of a task, by the task's place in the submission; a
 *     gang counts as one task, under its first member
 */
public record SubmissionProgress(
    SubmissionState state,
    long endedAtMillis,
    List<BitSet> completedTasks,
    Map<Integer, List<Integer>> failedRuns) {}
