package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.submission.SubmissionSpec;
import org.junit.jupiter.api.Test;

/** Tests that one part of the cell that fails does not keep the others from working. */
class FailingPartTest {

  private static final long DUE_MILLIS = 5_000;

  private final CellFixture fixture = new CellFixture(1);

  /** Guards against scheduled submissions that never start while other periodic work fails. */
  @Test
  void scheduledSubmissionStartsWhileStopsCannotBeResent() {
    fixture.addWorker("w");
    Submission cancelled = fixture.submit(spec("cancelled", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.cell.cancel(cancelled, fixture.now);
    fixture.submit(
        new SubmissionSpec(
            "scheduled",
            "customer",
            QUEUE,
            "text",
            List.of(step(1, 1_000, 500, false)),
            1,
            fixture.now + DUE_MILLIS,
            1_000,
            0));
    fixture.failingSubmission = "cancelled";
    fixture.advance(DUE_MILLIS);
    WorkerView worker = fixture.findWorker("w");
    fixture.reportFrom(worker, worker.bornMillis(), List.copyOf(worker.runs.keySet()));
    assertThat(fixture.starts).hasSize(1);

    Throwable failure = catchThrowable(() -> fixture.cell.tick(fixture.now, fixture.now));
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(failure)
        .isInstanceOf(IllegalStateException.class)
        .hasMessageContaining("resending of stops failed")
        .hasMessageContaining("no order for");
  }

  /** Guards against one entry that cannot be applied and keeps later workers from being listed. */
  @Test
  void workersAreListedWhileAnotherEntryCannotBeApplied() {
    Map<String, WorkerEntry> entries = new LinkedHashMap<>();
    for (String id : List.of("first", "second", "third")) {
      entries.put(id, FakeFleet.entry(id, "10.0.0.1:1", 1, CellFixture.CAPACITY));
    }
    fixture.failingWorker = "first";
    Throwable failure = catchThrowable(() -> fixture.cell.workersListed(entries, fixture.now));
    assertThat(fixture.findWorker("second").listed).isTrue();
    assertThat(fixture.findWorker("third").listed).isTrue();
    assertThat(failure)
        .isInstanceOf(IllegalStateException.class)
        .hasMessageContaining("listing of first failed");
  }

  /** Guards against one submission that cannot be placed and keeps all less urgent ones waiting. */
  @Test
  void submissionStartsWhileAnotherCannotBePlaced() {
    fixture.addWorker("w");
    fixture.failingSubmission = "first";
    for (String id : List.of("first", "second")) {
      fixture.cell.accept(spec(id, QUEUE, step(1, 1_000, 500, false)), fixture.now);
    }
    fixture.writePending();
    Throwable failure = catchThrowable(fixture::pass);
    assertThat(fixture.starts)
        .singleElement()
        .satisfies(
            started -> assertThat(started.run().key().task().submission()).isEqualTo("second"));
    assertThat(failure)
        .isInstanceOf(IllegalStateException.class)
        .hasMessageContaining("placement of first failed");
  }
}
