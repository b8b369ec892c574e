package org.hickorypier.core.verification;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.junit.jupiter.api.Test;

class PersistentTaskMonitorTest {

  private static final String ID = "0000000000000001";
  private static final TaskName TASK = new TaskName(ID, 0, 0, 0);
  private static final long ENDED_MILLIS = 20_000;
  private static final long REPORT_MILLIS =
      ENDED_MILLIS
          + PersistentTaskMonitor.RESTART_GRACE_MILLIS
          + PersistentTaskMonitor.MAX_UNSERVED_MILLIS;
  private static final long DISRUPTION_DELAY_MILLIS =
      PersistentTaskMonitor.MAX_UNSERVED_MILLIS + PersistentTaskMonitor.DISRUPTION_GRACE_MILLIS;

  private final PersistentTaskMonitor monitor = new PersistentTaskMonitor();

  PersistentTaskMonitorTest() {
    StepFlags persistent = new StepFlags(false, false, false, false, true, false);
    Resources each = new Resources(1_000, 100, 0);
    StepSpec step = new StepSpec(1, each, 1_000, List.of(), persistent, "", "", 0, "", 0, 0);
    QueueTerms queue = new QueueTerms("queue", "service", 0, 3, 2, 1_000, Optional.empty());
    monitor.recordAccepted(
        new SubmissionSpec(ID, "customer", queue, "text", List.of(step), 0, 0, 0, 0), 1_000);
  }

  @Test
  void taskThatNeverRanIsReportedAfterAcceptance() {
    assertThat(monitor.findOverdue(task -> true, 9_999)).isEmpty();
    assertThat(monitor.findOverdue(task -> true, 10_000)).containsExactly(TASK);
  }

  @Test
  void taskIsReportedOnceAfterItsLastRun() {
    runOnce();
    assertThat(monitor.findOverdue(task -> true, REPORT_MILLIS - 1)).isEmpty();
    assertThat(monitor.findOverdue(task -> true, REPORT_MILLIS)).containsExactly(TASK);
    assertThat(monitor.findOverdue(task -> true, REPORT_MILLIS + 1)).isEmpty();
  }

  @Test
  void runningTaskIsNotReported() {
    monitor.recordStart(TASK);
    assertThat(monitor.findOverdue(task -> true, REPORT_MILLIS)).isEmpty();
    assertThat(monitor.idleTasks()).isEmpty();
  }

  @Test
  void disruptionPostponesReport() {
    runOnce();
    monitor.recordDisruption(REPORT_MILLIS - 1_000);
    assertThat(monitor.findOverdue(task -> true, REPORT_MILLIS - 1_000 + DISRUPTION_DELAY_MILLIS))
        .isEmpty();
    assertThat(
            monitor.findOverdue(task -> true, REPORT_MILLIS - 1_000 + DISRUPTION_DELAY_MILLIS + 1))
        .containsExactly(TASK);
  }

  @Test
  void lackOfCapacityRestartsCount() {
    runOnce();
    monitor.findOverdue(task -> false, REPORT_MILLIS);
    long reportMillis = REPORT_MILLIS + PersistentTaskMonitor.MAX_UNSERVED_MILLIS;
    assertThat(monitor.findOverdue(task -> true, reportMillis - 1)).isEmpty();
    assertThat(monitor.findOverdue(task -> true, reportMillis)).containsExactly(TASK);
  }

  @Test
  void cancelledTaskIsNotReported() {
    runOnce();
    monitor.recordCancelRequested(ID);
    assertThat(monitor.findOverdue(task -> true, REPORT_MILLIS)).isEmpty();
    assertThat(monitor.idleTasks()).isEmpty();
  }

  private void runOnce() {
    monitor.recordStart(TASK);
    monitor.recordEnd(TASK, ENDED_MILLIS);
  }
}
