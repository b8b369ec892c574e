package org.hickorypier.core.submission;

import java.util.List;

/**
 * A submission as accepted from its caller, with the settings of its queue at that time.
 *
 * <p>Immutable. Two specifications with the same id denote the same submission.
 *
 * @param id the caller's id, 16 hexadecimal digits
 * @param customer the customer whose API key was presented, or empty on a public queue
 * @param queue the settings of its queue when it was accepted
 * @param text the text that tells the workers what to run
 * @param steps the steps, in order
 * @param times number of scheduled occurrences; 0 if the steps run once, without a schedule
 * @param startAtMillis when the first occurrence is due, in milliseconds since the Unix epoch
 * @param intervalMillis time between two occurrences, in milliseconds
 * @param acceptedAtMillis when a front end accepted it, in milliseconds since the Unix epoch
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

  /** Copies the list, so that the record is immutable. */
  public SubmissionSpec {
    steps = List.copyOf(steps);
  }

  /**
   * Returns this specification without the text for the workers.
   *
   * @return a copy with an empty text
   */
  public SubmissionSpec withoutText() {
    return new SubmissionSpec(
        id, customer, queue, "", steps, times, startAtMillis, intervalMillis, acceptedAtMillis);
  }

  /**
   * Returns the number of occurrences.
   *
   * @return at least one
   */
  public int occurrenceCount() {
    return Math.max(1, times);
  }

  /**
   * Tells whether the submission runs on a schedule.
   *
   * @return false if its steps are due immediately
   */
  public boolean isScheduled() {
    return times > 0;
  }

  /**
   * Returns the estimated duration of the critical path through the steps' dependencies.
   *
   * @return the duration in milliseconds
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
