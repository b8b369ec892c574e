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
  private static final long ENDED = 20_000;
  private static final long LATEST =
      ENDED
          + PersistentTaskMonitor.RESTART_GRACE_MILLIS
          + PersistentTaskMonitor.MAX_UNSERVED_MILLIS;
  private static final long CALM =
      PersistentTaskMonitor.MAX_UNSERVED_MILLIS + PersistentTaskMonitor.DISRUPTION_GRACE_MILLIS;

  private final PersistentTaskMonitor tasks = new PersistentTaskMonitor();

  PersistentTaskMonitorTest() {
    StepFlags lasting = new StepFlags(false, false, false, false, true, false);
    Resources each = new Resources(1_000, 100, 0);
    StepSpec step = new StepSpec(1, each, 1_000, List.of(), lasting, "", "", 0, "", 0, 0);
    QueueTerms queue = new QueueTerms("queue", "service", 0, 3, 2, 1_000, Optional.empty());
    tasks.recordAccepted(
        new SubmissionSpec(ID, "customer", queue, "text", List.of(step), 0, 0, 0, 0), 1_000);
  }

  @Test
  void taskThatNeverRanIsReportedFromItsAcceptance() {
    assertThat(tasks.findOverdue(task -> true, 9_999)).isEmpty();
    assertThat(tasks.findOverdue(task -> true, 10_000)).containsExactly(TASK);
  }

  @Test
  void taskIsReportedOnceAfterItsLastRun() {
    runOnce();
    assertThat(tasks.findOverdue(task -> true, LATEST - 1)).isEmpty();
    assertThat(tasks.findOverdue(task -> true, LATEST)).containsExactly(TASK);
    assertThat(tasks.findOverdue(task -> true, LATEST + 1)).isEmpty();
  }

  @Test
  void taskAtWorkIsNotReported() {
    tasks.recordStart(TASK);
    assertThat(tasks.findOverdue(task -> true, LATEST)).isEmpty();
    assertThat(tasks.idleTasks()).isEmpty();
  }

  @Test
  void disruptionPutsTheReportOffUntilAllWasCalm() {
    runOnce();
    tasks.recordDisruption(LATEST - 1_000);
    assertThat(tasks.findOverdue(task -> true, LATEST - 1_000 + CALM)).isEmpty();
    assertThat(tasks.findOverdue(task -> true, LATEST - 1_000 + CALM + 1)).containsExactly(TASK);
  }

  @Test
  void lackOfRoomBeginsTheCountAnew() {
    runOnce();
    tasks.findOverdue(task -> false, LATEST);
    long again = LATEST + PersistentTaskMonitor.MAX_UNSERVED_MILLIS;
    assertThat(tasks.findOverdue(task -> true, again - 1)).isEmpty();
    assertThat(tasks.findOverdue(task -> true, again)).containsExactly(TASK);
  }

  @Test
  void cancelledTaskIsNotReported() {
    runOnce();
    tasks.recordCancelRequested(ID);
    assertThat(tasks.findOverdue(task -> true, LATEST)).isEmpty();
    assertThat(tasks.idleTasks()).isEmpty();
  }

  private void runOnce() {
    tasks.recordStart(TASK);
    tasks.recordEnd(TASK, ENDED);
  }
}
