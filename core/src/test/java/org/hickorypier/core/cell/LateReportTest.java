package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.List;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;

class LateReportTest {

  private final CellFixture fixture = new CellFixture(1);

  private RenewalReport reportOfEnd(WorkerView worker, long bornMillis, Run run) {
    EndedRun end = new EndedRun(1, run.key(), RunEnd.DONE, "");
    return new RenewalReport(bornMillis, 900, List.of(), List.of(end));
  }

  /**
   * Guards against a task that runs twice because the answer that tells its end is late: the worker
   * stays silent until its lease has expired, and the task would start elsewhere.
   */
  @Test
  void endInLateReportCompletesTheTask() {
    WorkerView slow = fixture.addWorker("slow");
    final Submission submission = fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    final Run run = fixture.starts.get(0).run();
    fixture.cell.renewalUnanswered(slow, fixture.now);
    fixture.cell.renewalAnsweredLate(slow, reportOfEnd(slow, slow.bornMillis(), run), fixture.now);
    fixture.writePending();
    fixture.addWorker("other");
    fixture.advance(CellFixture.TIMINGS.longestLeaseMillis() + 1_000);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(submission.state).isEqualTo(SubmissionState.COMPLETED);
    assertThat(fixture.starts).hasSize(1);
  }

  /** Guards against orders to a worker whose late answer was taken for a sign of life. */
  @Test
  void lateReportIsNoSignOfLife() {
    WorkerView slow = fixture.addWorker("slow");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    final Run run = fixture.starts.get(0).run();
    fixture.cell.renewalUnanswered(slow, fixture.now);
    fixture.cell.renewalAnsweredLate(slow, reportOfEnd(slow, slow.bornMillis(), run), fixture.now);
    assertThat(slow.silent()).isTrue();
    assertThat(slow.acceptsOrders(fixture.now)).isFalse();
  }

  @Test
  void lateReportOfAnEarlierIncarnationIsIgnored() {
    WorkerView restarted = fixture.addWorker("restarted");
    final Submission submission = fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    final Run run = fixture.starts.get(0).run();
    fixture.cell.renewalAnsweredLate(
        restarted, reportOfEnd(restarted, restarted.bornMillis() - 1, run), fixture.now);
    assertThat(submission.state).isNotEqualTo(SubmissionState.COMPLETED);
  }
}
