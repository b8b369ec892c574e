package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.Map;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;

/** Guards against tasks of submissions that were cancelled before they were durable. */
class EarlyCancellationsTest {

  private static final String CUSTOMER = "customer";
  private static final long RETENTION_MILLIS = CellFixture.TIMINGS.endStateRetentionMillis();

  private final CellFixture fixture = new CellFixture(1);
  private final SubmissionSpec spec = spec("s", QUEUE, step(2, 1_000, 500, false));

  private boolean cancelEarly(String id, String customer) {
    return fixture.cell.cancelEarly(id, customer, fixture.now, fixture.now);
  }

  private void settle() {
    for (int round = 0; round < 3; round++) {
      fixture.cell.tick(fixture.now, fixture.now);
      fixture.writePending();
      fixture.pass();
    }
  }

  @Test
  void submissionIsCancelledWhileItIsBeingWritten() {
    fixture.addWorker("w");
    Submission submission = fixture.cell.accept(spec, fixture.now);
    assertThat(cancelEarly("s", CUSTOMER)).isTrue();
    fixture.cell.markDurable(submission, 1);
    settle();
    assertThat(fixture.starts).isEmpty();
    assertThat(fixture.cell.status("s").state()).isEqualTo(SubmissionState.CANCELLED);
    assertThat(fixture.durableProgress.get("s").state()).isEqualTo(SubmissionState.CANCELLED);
  }

  @Test
  void submissionIsCancelledBeforeItArrives() {
    fixture.addWorker("w");
    assertThat(cancelEarly("s", CUSTOMER)).isTrue();
    assertThat(fixture.cell.status("s")).isNull();
    assertThat(fixture.cell.admit(spec, true, fixture.now).accepted()).isTrue();
    settle();
    assertThat(fixture.starts).isEmpty();
    assertThat(fixture.cell.status("s").state()).isEqualTo(SubmissionState.CANCELLED);
  }

  @Test
  void customersDoNotCancelSubmissionsOfOthers() {
    fixture.addWorker("w");
    fixture.cell.accept(spec, fixture.now);
    assertThat(cancelEarly("s", "other")).isTrue();
    settle();
    assertThat(fixture.starts).hasSize(2);
  }

  @Test
  void otherSubmissionsOfTheCustomerAreNotCancelled() {
    fixture.addWorker("w");
    fixture.cell.accept(spec, fixture.now);
    assertThat(cancelEarly("other", CUSTOMER)).isTrue();
    settle();
    assertThat(fixture.starts).hasSize(2);
  }

  /** The append of the submission takes effect after its owner and its progress are lost. */
  @Test
  void submissionFoundByNextOwnerIsCancelled() {
    cancelEarly("s", CUSTOMER);
    CellFixture successor = new CellFixture(2);
    successor.cell.restoreEarlyCancellations("s", fixture.savedEarlyCancellations.get("s"));
    Submission lost = new CellFixture(1).cell.accept(spec, fixture.now);
    successor.cell.restore(spec, 1, lost.progress(), successor.now, successor.now);
    successor.cell.restoreRoster(successor.roster);
    successor.addWorker("w");
    successor.advance(RETENTION_MILLIS / 2);
    successor.reportFrom(successor.findWorker("w"));
    successor.writePending();
    successor.pass();
    assertThat(successor.starts).isEmpty();
    assertThat(successor.durableProgress.get("s").state()).isEqualTo(SubmissionState.CANCELLED);
  }

  @Test
  void cancellationIsDroppedAfterTheRetentionTime() {
    cancelEarly("s", CUSTOMER);
    fixture.now += RETENTION_MILLIS;
    fixture.cell.tick(fixture.now, fixture.now);
    assertThat(fixture.savedEarlyCancellations.get("s")).containsOnlyKeys(CUSTOMER);
    fixture.now += 1_000;
    fixture.cell.tick(fixture.now, fixture.now);
    assertThat(fixture.savedEarlyCancellations).containsEntry("s", Map.of());
  }

  /** Guards against a customer that uses up the memory, or the room that others need. */
  @Test
  void cancellationsAreLimitedForEachCustomerAndInTotal() {
    int accepted = 0;
    for (int index = 0; index < 30_000; index++) {
      accepted += cancelEarly("a" + index, "a") ? 1 : 0;
    }
    assertThat(accepted).isEqualTo(EarlyCancellations.MAX_CANCELLATIONS_PER_CUSTOMER);
    assertThat(cancelEarly("a0", "a")).isTrue();
    assertThat(cancelEarly("b", "b")).isTrue();
    for (int index = 0; index < 50_000; index++) {
      accepted += cancelEarly("c" + index, "c" + index % 10) ? 1 : 0;
    }
    assertThat(accepted + 1).isEqualTo(EarlyCancellations.MAX_CANCELLATIONS);
    fixture.now += RETENTION_MILLIS + 1_000;
    fixture.cell.tick(fixture.now, fixture.now);
    assertThat(cancelEarly("d", "a")).isTrue();
  }
}
