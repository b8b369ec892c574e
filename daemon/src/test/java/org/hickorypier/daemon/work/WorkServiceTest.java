package org.hickorypier.daemon.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.scheduling.TaskEnd;
import org.junit.jupiter.api.Test;

class WorkServiceTest {

  private static final Duration PAST_DEADLINE = Duration.ofSeconds(11);

  private final WorkServiceFixture fixture = new WorkServiceFixture();

  // Guards against a team that exceeds its limit: the permit of an adopted task was reused here
  // after
  // the task ended, although another instance holds that permit and reuses it too.
  @Test
  void endOfForeignTaskStartsNothingBeyondHeldPermits() {
    fixture.setLimitAndHold(2, 1);
    final TaskId foreignTask = fixture.adoptForeignTask("foreign");
    fixture.submit("first", true);
    fixture.submit("second", true);
    assertThat(fixture.placedRequests()).containsExactly("first");

    fixture.endTask(foreignTask, TaskEnd.COMPLETED);

    assertThat(fixture.placedRequests()).containsExactly("first");
  }

  // Guards against "not run" for a request whose first run was lost and whose second run could not
  // be
  // placed.
  @Test
  void requestThatMayHaveRunIsNotRefusedAsNotRun() {
    fixture.setLimitAndHold(1, 1);
    fixture.submit("first", true);
    TaskId run = fixture.placed.get(0).taskId();
    fixture.submit("second", true);

    fixture.endTask(run, TaskEnd.LOST);
    fixture.timers.advance(PAST_DEADLINE);

    assertThat(fixture.placedRequests()).containsExactly("first", "second");
    assertThat(fixture.answers).extracting(WorkResult::outcome).containsExactly(Outcome.UNKNOWN);
  }

  // A request that is refused before any start order is sent has not run.
  @Test
  void requestThatNeverStartedIsRefusedAsNotRun() {
    fixture.setLimitAndHold(1, 1);
    fixture.submit("first", true);
    fixture.submit("second", true);

    fixture.timers.advance(PAST_DEADLINE);

    assertThat(fixture.answers).extracting(WorkResult::outcome).containsExactly(Outcome.NOT_RUN);
  }

  // Guards against callers that wait for their deadlines although a fenced instance cannot start
  // their requests. The instance was paused, so another home may have run repeats of the requests:
  // the outcome is unknown and not "not run".
  @Test
  void fencedInstanceAnswersQueuedRequestsAsUnknownWithoutWaitingForDeadlines() {
    fixture.setLimitAndHold(1, 1);
    fixture.submit("running", true);
    fixture.submit("waiting", true);

    fixture.work.refuseQueuedWork();

    assertThat(fixture.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
    assertThat(fixture.answers).extracting(WorkResult::outcome).containsExactly(Outcome.UNKNOWN);
  }

  /** Guards against "not run" for a request whose first try this home reported as unknown. */
  @Test
  void repeatOfRequestWithUnknownOutcomeIsNotRefusedAsNotRun() {
    fixture.setLimitAndHold(1, 1);
    fixture.submit("first", true);
    TaskId run = fixture.placed.get(0).taskId();
    fixture.submit("second", true);
    fixture.endTask(run, TaskEnd.LOST);
    fixture.timers.advance(PAST_DEADLINE);
    fixture.answers.clear();

    fixture.submit("first", true);
    fixture.timers.advance(PAST_DEADLINE);

    assertThat(fixture.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
  }

  /**
   * Guards against "not run" for a request that ran and whose answer was evicted from the cache.
   */
  @Test
  void repeatAfterEvictedAnswerIsNotRefusedAsNotRun() {
    fixture.setLimitAndHold(1, 1);
    fixture.submit("ran", true);
    fixture.endTask(fixture.placed.get(0).taskId(), TaskEnd.COMPLETED);
    for (int number = 0; number < WorkServiceFixture.MAX_CACHED_ANSWERS; number++) {
      fixture.submit("later-" + number, true);
      fixture.endTask(fixture.placed.get(number + 1).taskId(), TaskEnd.COMPLETED);
    }
    fixture.submit("in the way", true);
    fixture.answers.clear();

    fixture.submit("ran", true);
    fixture.timers.advance(PAST_DEADLINE);

    assertThat(fixture.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
  }

  /** Guards against "not run" from a home that was paused while others were home of its work. */
  @Test
  void refusalAfterPauseHasUnknownOutcome() {
    fixture.setLimitAndHold(1, 1);
    fixture.submit("running", true);
    fixture.submit("waiting", true);
    fixture.work.soleHomeSince(since -> since > 0);

    fixture.timers.advance(PAST_DEADLINE);

    assertThat(fixture.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
  }

  /** Guards against a request that waits for ever for the answer of a departed worker. */
  @Test
  void requestThatEndedOnDepartedWorkerIsRunAgain() {
    fixture.setLimitAndHold(1, 1);
    fixture.recordEndedForeignTask("ran");
    assertThat(fixture.work.knows(new WorkKey(WorkServiceFixture.TEAM, "ran"))).isTrue();

    fixture.submit("ran", true);

    assertThat(fixture.placedRequests()).containsExactly("ran");
  }
}
