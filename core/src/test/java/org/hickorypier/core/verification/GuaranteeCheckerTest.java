package org.hickorypier.core.verification;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorypier.core.cell.RunEnd;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Violates each guarantee once, to show that the checker detects it. */
class GuaranteeCheckerTest {

  private static final String ID = "0123456789abcdef";

  private final AtomicLong clock = new AtomicLong();
  private final GuaranteeChecker checker = new GuaranteeChecker(clock::get);

  @BeforeEach
  void submit() {
    StepSpec first = step(List.of());
    StepSpec second = step(List.of(0));
    QueueTerms queue = new QueueTerms("q", "service", 0, 2, 1, 0, Optional.empty());
    checker.recordSubmitted(
        new SubmissionSpec(ID, "customer", queue, "", List.of(first, second), 0, 0, 0, 0));
  }

  private static StepSpec step(List<Integer> dependsOn) {
    Resources each = new Resources(3_000, 100, 0);
    return new StepSpec(2, each, 100, dependsOn, StepFlags.NONE, "", "", 0, "", 0, 0);
  }

  private static ObservedRun run(int step, int index, int number, String worker) {
    return new ObservedRun(new RunKey(new TaskName(ID, 0, step, index), number), worker, 1);
  }

  private void recordRun(ObservedRun run, RunEnd end) {
    checker.recordStart(run);
    checker.recordEnd(run, end);
  }

  private void assertViolation(String text) {
    assertThat(checker.violations()).singleElement().asString().contains(text);
  }

  @Test
  void validHistoryHasNoViolations() {
    recordRun(run(0, 0, 1, "a"), RunEnd.FAILED);
    recordRun(run(0, 0, 2, "a"), RunEnd.DONE);
    recordRun(run(0, 1, 1, "a"), RunEnd.DONE);
    recordRun(run(1, 0, 1, "a"), RunEnd.DONE);
    recordRun(run(1, 1, 1, "b"), RunEnd.DONE);
    checker.checkShownState(ID, SubmissionState.COMPLETED);
    assertThat(checker.violations()).isEmpty();
    assertThat(checker.startCount()).isEqualTo(5);
  }

  @Test
  void reportsConcurrentRunsOfOneTask() {
    checker.recordStart(run(0, 0, 1, "a"));
    checker.recordStart(run(0, 0, 2, "b"));
    assertViolation("two runs at once");
  }

  @Test
  void reportsStartAfterAcknowledgedEnd() {
    recordRun(run(0, 0, 1, "a"), RunEnd.DONE);
    checker.recordEndAcknowledged(run(0, 0, 1, "a"), RunEnd.DONE);
    checker.recordStart(run(0, 0, 2, "b"));
    assertViolation("start after an acknowledged end");
  }

  @Test
  void reportsStartBeforeDependencyIsDone() {
    checker.recordStart(run(1, 0, 1, "a"));
    assertViolation("start before step 0 was done");
  }

  @Test
  void reportsStartAfterLastAttempt() {
    for (int number = 1; number <= 2; number++) {
      recordRun(run(0, 0, number, "a"), RunEnd.FAILED);
      checker.recordEndAcknowledged(run(0, 0, number, "a"), RunEnd.FAILED);
    }
    checker.recordStart(run(0, 0, 3, "a"));
    assertViolation("start after the last attempt");
  }

  @Test
  void reportsWorkerOverCapacity() {
    checker.setCapacity("a", new Resources(5_000, 0, 0));
    checker.recordStart(run(0, 0, 1, "a"));
    checker.recordStart(run(0, 1, 1, "a"));
    assertViolation("worker a has 6000 running");
  }

  @Test
  void reportsCustomerOverLimit() {
    checker.setLimit("customer", new Resources(2_000, 0, 0));
    checker.recordStart(run(0, 0, 1, "a"));
    assertThat(checker.violations()).isEmpty();
    checker.recordStart(run(0, 1, 1, "b"));
    assertViolation("customer customer has 6000 running");
  }

  @Test
  void reportsStartAfterCancellationGrace() {
    checker.recordCancelAcknowledged(ID);
    clock.set(3_001);
    checker.recordStart(run(0, 0, 1, "a"));
    assertViolation("start after the cancellation");
  }

  @Test
  void reportsStartOfRefusedSubmission() {
    checker.recordRejected(ID);
    checker.recordStart(run(0, 0, 1, "a"));
    assertViolation("start of a refused submission");
  }

  @Test
  void reportsCompletedStateBeforeAllTasksAreDone() {
    recordRun(run(0, 0, 1, "a"), RunEnd.DONE);
    checker.checkShownState(ID, SubmissionState.COMPLETED);
    assertViolation("shown as completed too early");
  }

  @Test
  void reportsFailedStateBeforeLastAttempt() {
    recordRun(run(0, 0, 1, "a"), RunEnd.FAILED);
    checker.checkShownState(ID, SubmissionState.FAILED);
    assertViolation("shown as failed before its last attempt");
  }
}
