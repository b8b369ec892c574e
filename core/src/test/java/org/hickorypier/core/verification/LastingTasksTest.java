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

class LastingTasksTest {

  private static final String ID = "0000000000000001";
  private static final TaskName TASK = new TaskName(ID, 0, 0, 0);
  private static final long ENDED = 20_000;
  private static final long LATEST =
      ENDED + LastingTasks.WITHOUT_RUN_MILLIS + LastingTasks.LACKING_MILLIS;
  private static final long CALM = LastingTasks.LACKING_MILLIS + LastingTasks.CALM_BEFORE_MILLIS;

  private final LastingTasks tasks = new LastingTasks();

  LastingTasksTest() {
    StepFlags lasting = new StepFlags(false, false, false, false, true, false);
    Resources each = new Resources(1_000, 100, 0);
    StepSpec step = new StepSpec(1, each, 1_000, List.of(), lasting, "", "", 0, "", 0, 0);
    QueueTerms queue = new QueueTerms("queue", "service", 0, 3, 2, 1_000, Optional.empty());
    tasks.accepted(
        new SubmissionSpec(ID, "customer", queue, "text", List.of(step), 0, 0, 0, 0), 1_000);
  }

  @Test
  void taskThatNeverRanIsReportedFromItsAcceptance() {
    assertThat(tasks.lacking(task -> true, 9_999)).isEmpty();
    assertThat(tasks.lacking(task -> true, 10_000)).containsExactly(TASK);
  }

  @Test
  void taskIsReportedOnceAfterItsLastRun() {
    runOnce();
    assertThat(tasks.lacking(task -> true, LATEST - 1)).isEmpty();
    assertThat(tasks.lacking(task -> true, LATEST)).containsExactly(TASK);
    assertThat(tasks.lacking(task -> true, LATEST + 1)).isEmpty();
  }

  @Test
  void taskAtWorkIsNotReported() {
    tasks.started(TASK);
    assertThat(tasks.lacking(task -> true, LATEST)).isEmpty();
    assertThat(tasks.idle()).isEmpty();
  }

  @Test
  void disruptionPutsTheReportOffUntilAllWasCalm() {
    runOnce();
    tasks.disrupted(LATEST - 1_000);
    assertThat(tasks.lacking(task -> true, LATEST - 1_000 + CALM)).isEmpty();
    assertThat(tasks.lacking(task -> true, LATEST - 1_000 + CALM + 1)).containsExactly(TASK);
  }

  @Test
  void lackOfRoomBeginsTheCountAnew() {
    runOnce();
    tasks.lacking(task -> false, LATEST);
    long again = LATEST + LastingTasks.LACKING_MILLIS;
    assertThat(tasks.lacking(task -> true, again - 1)).isEmpty();
    assertThat(tasks.lacking(task -> true, again)).containsExactly(TASK);
  }

  @Test
  void cancelledTaskIsNotReported() {
    runOnce();
    tasks.cancelSent(ID);
    assertThat(tasks.lacking(task -> true, LATEST)).isEmpty();
    assertThat(tasks.idle()).isEmpty();
  }

  private void runOnce() {
    tasks.started(TASK);
    tasks.ended(TASK, ENDED);
  }
}
