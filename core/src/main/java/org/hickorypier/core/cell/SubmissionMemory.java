package org.hickorypier.core.cell;

import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;

/**
 * Bounds the memory that submissions take at the owner: those that have not ended, and those whose
 * end state callers may still query, with the early cancellations.
 *
 * <p>Load: thousands of submissions with long texts that are due in an hour. Each instance that
 * stands by holds the records of all of them, and a successor decodes these in a heap of the same
 * size. What one owner accepts beyond that, no other can take over. Part of the memory is kept for
 * urgent work, which is served within seconds.
 *
 * <p>Confined to the control thread.
 */
final class SubmissionMemory {

  /** Allowance for a submission beside its text and its steps. */
  private static final int SUBMISSION_BYTES = 1_024;

  /** Allowance for the specification of a step. */
  private static final int STEP_BYTES = 256;

  /** Allowance for one occurrence of a step, without its tasks. */
  private static final int STEP_RUN_BYTES = 128;

  private static final int TASK_BYTES = 112;

  /** Allowance for an ended submission beside its encoded specification. */
  private static final int ENDED_BYTES = 256;

  /** Allowance for an early cancellation, at the owner or in the records that a standby holds. */
  private static final int EARLY_CANCELLATION_BYTES = 256;

  /** A character that is not ASCII takes up to three bytes in the journal. */
  private static final int FURTHER_BYTES = 2;

  private static final int LAST_ASCII = 0x7f;

  /** Share of the memory that work may take which is scheduled or not urgent. */
  private static final double COMMON_SHARE = 0.75;

  /** Memory for the submissions unless another amount is set. */
  private static final long DEFAULT_LIMIT_BYTES = 36 << 20;

  private static final long SAMPLE_PERIOD_MILLIS = 1_000;

  private final CellState cell;
  private long limitBytes = DEFAULT_LIMIT_BYTES;
  private long usedBytes;
  private long sampledAt;

  SubmissionMemory(CellState cell) {
    this.cell = cell;
    this.sampledAt = cell.takenOverAt;
  }

  /** Sets the memory that the submissions may take, in bytes. */
  void setLimitBytes(long bytes) {
    limitBytes = bytes;
  }

  /** Returns whether a further submission may be accepted. */
  boolean hasRoomFor(SubmissionSpec spec) {
    boolean urgent =
        !spec.isScheduled()
            && cell.reserve.isUrgent(spec.queue().service(), spec.queue().priority());
    return usedBytes + bytesOf(spec) <= (urgent ? 1 : COMMON_SHARE) * limitBytes;
  }

  /** Counts a submission that was added since the last sample. */
  void add(Submission submission) {
    usedBytes += submission.estimatedBytes;
  }

  /** Counts an ended submission that was added since the last sample. */
  void add(EndedSubmission ended) {
    usedBytes += ENDED_BYTES + ended.spec().length;
  }

  /** Counts all anew, at most once a second, since submissions end and are dropped. */
  void sample(long now) {
    if (now - sampledAt < SAMPLE_PERIOD_MILLIS) {
      return;
    }
    sampledAt = now;
    usedBytes = (long) EARLY_CANCELLATION_BYTES * cell.earlyCancellations.size();
    cell.submissions.values().forEach(this::add);
    cell.endedSubmissions.values().forEach(this::add);
  }

  /** Returns the memory that a submission takes, in bytes, by an estimate. */
  static long bytesOf(SubmissionSpec spec) {
    long bytes = SUBMISSION_BYTES + textBytes(spec.text());
    for (StepSpec step : spec.steps()) {
      long occurrence = STEP_RUN_BYTES + (long) TASK_BYTES * step.count();
      bytes += STEP_BYTES + spec.occurrenceCount() * occurrence;
    }
    return bytes;
  }

  private static long textBytes(String text) {
    int wide = 0;
    for (int index = 0; index < text.length(); index++) {
      wide += text.charAt(index) > LAST_ASCII ? 1 : 0;
    }
    return text.length() + (long) FURTHER_BYTES * wide;
  }
}
