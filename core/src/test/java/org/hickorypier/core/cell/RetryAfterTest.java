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

  private static SubmissionSpec submission(
      long estimateMillis, double stretch, long objectiveMillis) {
    StepSpec step =
        new StepSpec(
            1, Resources.NONE, estimateMillis, List.of(), StepFlags.NONE, "", "", 0, "", 0, 0);
    QueueTerms queue =
        new QueueTerms("q", "service", 0, 3, stretch, objectiveMillis, Optional.empty());
    return new SubmissionSpec("id", "customer", queue, "", List.of(step), 0, 0, 0, 0);
  }

  /**
   * Returns when a caller is accepted that is refused until the end of an outage, in milliseconds
   * from its start; -1 if its attempts do not suffice.
   */
  private static long acceptedAtMillis(SubmissionSpec spec, long outageMillis) {
    long at = 0;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (at >= outageMillis) {
        return at;
      }
      at += RetryAfter.delayMillis(spec);
    }
    return -1;
  }

  /**
   * The store is unavailable for 2.3 s, and callers are refused immediately. A check of 0.64 s is
   * of some use to its caller within 3.6 s. It is accepted by 3 s; a delay of two seconds between
   * attempts would make it 4 s.
   */
  @Test
  void shortCheckIsAcceptedSoonAfterStoreOutage() {
    assertThat(acceptedAtMillis(submission(640, 1.5, 250), 2_300)).isEqualTo(3_000);
    assertThat(RetryAfter.delayMillis(submission(10, 1.5, 0))).isEqualTo(1_000);
  }

  /**
   * The store is unavailable for 9 s. A batch of 6 s still has an attempt left when it is available
   * again, and is still in time.
   */
  @Test
  void longBatchKeepsAttemptsForLongStoreOutage() {
    SubmissionSpec batch = submission(6_200, 2.2, 1_000);
    assertThat(acceptedAtMillis(batch, 9_000)).isEqualTo(9_000);
    assertThat(RetryAfter.delayMillis(submission(3_600_000, 2, 0))).isEqualTo(3_000);
  }
}
