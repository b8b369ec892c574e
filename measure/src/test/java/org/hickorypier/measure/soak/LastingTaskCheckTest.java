package org.hickorypier.measure.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.verification.ObservedRun;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LastingTaskCheckTest {

  private static final String LASTING = "f000000000000001";
  private static final String OTHER = "0000000000000001";
  private static final long LOOK_MILLIS = 50;

  /** The last moment at which a task that has ended may begin to run again. */
  private static final long LATEST_MILLIS =
      LastingTaskCheck.OWED_AFTER_MILLIS + LastingTaskCheck.LATE_MILLIS;

  private long now;
  private final LastingTaskCheck check = new LastingTaskCheck(() -> now);

  @BeforeEach
  void oneTaskThatLastsAndTwoWorkers() {
    check.handedIn(submission(LASTING, true));
    check.handedIn(submission(OTHER, false));
    check.accepted(LASTING);
    check.takesWork("left", new Resources(4_000, 4_000, 0));
    check.takesWork("stays", new Resources(4_000, 4_000, 0));
    check.started(run(LASTING, "left", 1));
  }

  private static SubmissionSpec submission(String id, boolean lasts) {
    StepFlags flags = new StepFlags(false, false, false, false, lasts, false);
    Resources each = new Resources(2_000, 1_000, 0);
    StepSpec step = new StepSpec(1, each, 500, List.of(), flags, "", "", 0, "", 0, 1);
    return new SubmissionSpec(
        id, "customer", StandInPlatform.QUEUE, "text", List.of(step), 0, 0, 0, 0);
  }

  private static ObservedRun run(String id, String worker, int number) {
    return new ObservedRun(new RunKey(new TaskName(id, 0, 0, 0), number), worker, 1);
  }

  private void pass(long millis) {
    for (long end = now + millis; now < end; now += LOOK_MILLIS) {
      check.look();
    }
  }

  private void workerLeaves() {
    check.takesNoWork("left");
    check.ended(run(LASTING, "left", 1));
  }

  @Test
  void taskThatRunsAgainInTimeIsWell() {
    workerLeaves();
    pass(LATEST_MILLIS);
    check.started(run(LASTING, "stays", 2));
    pass(LATEST_MILLIS);
    assertThat(check.broken()).isEmpty();
    assertThat(check.unsettled()).isEmpty();
  }

  @Test
  void taskThatDoesNotRunAgainIsToldOnce() {
    workerLeaves();
    pass(3 * LATEST_MILLIS);
    assertThat(check.broken()).hasSize(1);
    assertThat(check.broken().get(0)).contains("last on left").contains(LASTING);
    assertThat(check.unsettled()).hasSize(1);
  }

  @Test
  void taskIsOwedNothingWhileUnplannedDisturbancesAreNear() {
    workerLeaves();
    pass(LATEST_MILLIS - LOOK_MILLIS);
    check.disturbed(1_000);
    pass(1_000 + LastingTaskCheck.CALM_MILLIS + LastingTaskCheck.LATE_MILLIS);
    assertThat(check.broken()).isEmpty();
    pass(2 * LOOK_MILLIS);
    assertThat(check.broken()).hasSize(1);
  }

  @Test
  void taskIsOwedNothingWithoutRoomForItTwiceOver() {
    check.started(run(OTHER, "stays", 1));
    workerLeaves();
    pass(3 * LATEST_MILLIS);
    assertThat(check.broken()).isEmpty();
    check.ended(run(OTHER, "stays", 1));
    pass(LastingTaskCheck.LATE_MILLIS + 2 * LOOK_MILLIS);
    assertThat(check.broken()).hasSize(1);
  }

  @Test
  void roomOfWorkersThatDrainDoesNotCount() {
    check.takesNoWork("stays");
    workerLeaves();
    pass(3 * LATEST_MILLIS);
    assertThat(check.broken()).isEmpty();
  }

  @Test
  void cancelledSubmissionIsOwedNothingAndHasToEnd() {
    check.cancelling(LASTING);
    assertThat(check.unsettled()).hasSize(1);
    workerLeaves();
    pass(3 * LATEST_MILLIS);
    assertThat(check.broken()).isEmpty();
    assertThat(check.unsettled()).isEmpty();
  }
}
