package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;

import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionCodec;
import org.junit.jupiter.api.Test;

/** Plays a service whose tasks fail at each start. */
class FailingServiceLoadTest {

  private static final int TASKS = 300;
  private static final int FAILURES = 200_000;
  private static final long MAX_MILLIS = 3_600_000;

  /** The largest record of the store. */
  private static final int MAX_RECORD_BYTES = 262_144;

  private static final StepSpec SERVICE =
      new StepSpec(
          TASKS,
          new Resources(100, 100, 0),
          500,
          List.of(),
          new StepFlags(false, false, false, false, true, false),
          "",
          "",
          0,
          "",
          0,
          0);

  private final FakeFleet fleet = new FakeFleet(new CellFixture(1), 8);

  private int startsSoFar() {
    return fleet.starts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Guards against a progress record that grows with each failure until the store refuses it. */
  @Test
  void progressOfServiceThatFailsOftenFitsIntoRecord() {
    fleet.failing = run -> true;
    final Submission service = fleet.submit(spec("service", QUEUE, SERVICE));
    long end = fleet.owner.now + MAX_MILLIS;
    while (startsSoFar() < FAILURES && fleet.owner.now < end) {
      fleet.advance(1_000);
      fleet.owner.events.clear();
    }
    assertThat(startsSoFar()).isGreaterThanOrEqualTo(FAILURES);
    assertThat(SubmissionCodec.encodeProgress(service.progress()).length)
        .isLessThan(MAX_RECORD_BYTES);
  }

  /** Guards against an end that a further owner counts again since its number is not kept. */
  @Test
  void repeatedEndOfOldRunIsNotRecordedAgain() {
    Submission service = fleet.submit(spec("service", QUEUE, SERVICE));
    Task task = service.occurrences[0][0].tasks[0];
    for (int number = 1; number <= 100; number++) {
      assertThat(task.hasRecordedFailure(number)).isFalse();
      task.recordFailure(number);
    }
    for (int number = 1; number <= 100; number++) {
      assertThat(task.hasRecordedFailure(number)).isTrue();
    }
    assertThat(task.hasRecordedFailure(101)).isFalse();
  }
}
