package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;
import static org.hickorypier.core.cell.CellFixture.stepAfter;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;

/** Plays many submissions with long texts that wait for the time at which they are due. */
class ScheduledLoadTest {

  private static final int TEXT_BYTES = 4_000;
  private static final int TASKS = 25;
  private static final QueueTerms CHECKS = queue("checks", 0);
  private static final QueueTerms BATCHES = queue("batches", 1);
  private static final StepSpec CHECK = step(2, 1_000, 500, false);

  /** Half of the heap of 72 MiB that an instance has. */
  private static final long MEMORY_BYTES = 36L << 20;

  private final FakeFleet fleet = new FakeFleet(new CellFixture(1), 8);

  private static QueueTerms queue(String name, int priority) {
    return new QueueTerms(name, "service", priority, 3, 2, 60_000, Optional.empty());
  }

  private static SubmissionSpec scheduled(String id, long startAtMillis) {
    List<StepSpec> steps = List.of(step(TASKS, 1_700, 600, false), stepAfter(0, TASKS, 1_700, 600));
    String text = "t".repeat(TEXT_BYTES);
    return new SubmissionSpec(id, "customer", BATCHES, text, steps, 1, startAtMillis, 0, 0);
  }

  private void acceptScheduled(int count, long startAtMillis) {
    for (int index = 0; index < count; index++) {
      fleet.owner.cell.accept(scheduled("later-" + index, startAtMillis), fleet.owner.now);
      fleet.states.put("later-" + index, SubmissionState.QUEUED);
    }
    fleet.owner.writePending();
  }

  /** Guards against submissions that are lost or run twice as they become due beside a takeover. */
  @Test
  void submissionsThatAreDueTogetherEndAfterChangeOfOwner() {
    int submissions = 60;
    fleet.reportsProgress = true;
    acceptScheduled(submissions, fleet.owner.now + 1_000);
    fleet.advance(5_500);
    fleet.takeOver(fleet.owner.successorFromStore(2));
    fleet.advance(60_000);
    assertThat(fleet.states.values()).containsOnly(SubmissionState.COMPLETED);
    assertThat(fleet.starts).hasSize(submissions * 2 * TASKS);
  }

  /** Guards against an owner that accepts more than it, or a successor, has memory for. */
  @Test
  void submissionsAreAcceptedUpToTheMemory() {
    fleet.owner.cell.limitSubmissions(MEMORY_BYTES);
    fleet.submit(spec("check", CHECKS, CHECK));
    int accepted = 0;
    while (fleet.owner.cell.hasMemoryFor(scheduled("later-" + accepted, 3_600_000))) {
      SubmissionSpec next = scheduled("later-" + accepted++, 3_600_000);
      fleet.owner.cell.accept(next, fleet.owner.now);
    }
    assertThat((long) accepted * TEXT_BYTES).isBetween(MEMORY_BYTES / 4, MEMORY_BYTES);
    SubmissionSpec batch = scheduled("batch", fleet.owner.now);
    SubmissionSpec urgent = spec("urgent", CHECKS, CHECK);
    assertThat(fleet.owner.cell.hasMemoryFor(batch)).isFalse();
    assertThat(fleet.owner.cell.hasMemoryFor(urgent)).isTrue();
    fleet.owner.writePending();
    fleet.takeOver(fleet.owner.successorFromStore(2));
    fleet.owner.cell.limitSubmissions(MEMORY_BYTES);
    assertThat(fleet.owner.cell.hasMemoryFor(batch)).isFalse();
    for (int index = 0; index < 10; index++) {
      fleet.owner.cell.cancel(fleet.owner.cell.find("later-" + index), fleet.owner.now);
    }
    fleet.advance(3_000);
    assertThat(fleet.owner.cell.hasMemoryFor(batch)).isTrue();
  }

  /** Guards against texts that take more bytes in the journal than they have characters. */
  @Test
  void charactersOfSeveralBytesCount() {
    SubmissionSpec ascii = spec("id", CHECKS, CHECK);
    String text = Character.toString(0x4e2d).repeat(4);
    SubmissionSpec wide =
        new SubmissionSpec("id", "customer", CHECKS, text, ascii.steps(), 0, 0, 0, 0);
    assertThat(SubmissionMemory.bytesOf(wide) - SubmissionMemory.bytesOf(ascii)).isEqualTo(8);
  }
}
