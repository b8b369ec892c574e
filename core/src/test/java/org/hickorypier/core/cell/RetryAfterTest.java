package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.junit.jupiter.api.Test;

class RetryAfterTest {

  private static final int MAX_ATTEMPTS = 5;

  private static SubmissionSpec submission(long estimate, double stretch, long objective) {
    StepSpec step =
        new StepSpec(1, Resources.NONE, estimate, List.of(), StepFlags.PLAIN, "", "", 0, "", 0, 0);
    QueueTerms queue = new QueueTerms("q", "service", 0, 3, stretch, objective, Optional.empty());
    return new SubmissionSpec("id", "customer", queue, "", List.of(step), 0, 0, 0, 0);
  }

  /** Returns when a caller that is refused until the store is back gets in, or -1. */
  private static long acceptedAtMillis(SubmissionSpec spec, long outage) {
    long at = 0;
    for (int tried = 0; tried < MAX_ATTEMPTS; tried++) {
      if (at >= outage) {
        return at;
      }
      at += RetryAfter.delayMillis(spec);
    }
    return -1;
  }

  /**
   * The store is away for 2.3 s, and callers are refused at once. A check of 0.64 s is of some use
   * to its caller within 3.6 s: it is accepted before 3 s, where two seconds between tries would
   * make it 4 s.
   */
  @Test
  void shortCheckIsAcceptedSoonAfterStoreOutage() {
    assertThat(acceptedAtMillis(submission(640, 1.5, 250), 2_300)).isEqualTo(3_000);
    assertThat(RetryAfter.delayMillis(submission(10, 1.5, 0))).isEqualTo(1_000);
  }

  /** The store is away for 9 s. A batch of 6 s keeps a try for its return, and is still in time. */
  @Test
  void longBatchKeepsAttemptsForLongStoreOutage() {
    SubmissionSpec batch = submission(6_200, 2.2, 1_000);
    assertThat(acceptedAtMillis(batch, 9_000)).isEqualTo(9_000);
    assertThat(RetryAfter.delayMillis(submission(3_600_000, 2, 0))).isEqualTo(3_000);
  }
}
