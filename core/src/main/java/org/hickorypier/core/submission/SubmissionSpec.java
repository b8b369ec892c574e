package org.hickorypier.core.submission;

import java.util.List;

/**
 * A submission as its caller handed it in, with the queue's terms at that moment.
 *
 * <p>Immutable; two submissions with one id are the same submission.
 *
 * @param id the caller's id, 16 hexadecimal digits
 * @param customer the customer whose key came with it, or empty on a public queue
 * @param queue the terms of its queue when it was accepted
 * @param text what the workers are told to run
 * @param steps the steps, in order
 * @param times how often the steps run on a schedule; 0 for once, without one
 * @param startAtMillis when the first occurrence is due, milliseconds since 1970
 * @param intervalMillis time between two occurrences, in milliseconds
 * @param acceptedAtMillis time of day when a front took it, milliseconds since 1970
 */
public record SubmissionSpec(
    String id,
    String customer,
    QueueTerms queue,
    String text,
    List<StepSpec> steps,
    int times,
    long startAtMillis,
    long intervalMillis,
    long acceptedAtMillis) {

  /** Copies the list, so that the record stays as it is. */
  public SubmissionSpec {
    steps = List.copyOf(steps);
  }

  /**
   * Returns how many occurrences there are.
   *
   * @return at least one
   */
  public int occurrenceCount() {
    return Math.max(1, times);
  }

  /**
   * Tells whether the submission runs on a schedule.
   *
   * @return false if its steps are due at once
   */
  public boolean isScheduled() {
    return times > 0;
  }

  /**
   * Returns the longest chain of estimated work over the steps' dependencies.
   *
   * @return milliseconds
   */
  public long criticalPathMillis() {
    long[] ends = new long[steps.size()];
    long longest = 0;
    for (int index = 0; index < ends.length; index++) {
      long begin = 0;
      for (int earlier : steps.get(index).dependsOn()) {
        begin = Math.max(begin, ends[earlier]);
      }
      ends[index] = begin + steps.get(index).estimateMillis();
      longest = Math.max(longest, ends[index]);
    }
    return longest;
  }
}
