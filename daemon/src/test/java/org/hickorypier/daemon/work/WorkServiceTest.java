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

  // A permit that another instance holds and uses again was used here too: the team ran over its
  // limit.
  @Test
  void endOfForeignTaskStartsNothingBeyondHeldPermits() {
    fixture.setLimitAndHold(2, 1);
    final TaskId foreign = fixture.adoptForeignTask("foreign");
    fixture.submit("first", true);
    fixture.submit("second", true);
    assertThat(fixture.placedRequests()).containsExactly("first");

    fixture.endTask(foreign, TaskEnd.COMPLETED);

    assertThat(fixture.placedRequests()).containsExactly("first");
  }

  // A request whose first run was lost was said not to have run once its second found no place.
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

  // The same request, refused before anything of it was ordered, did not run.
  @Test
  void requestThatNeverStartedIsRefusedAsNotRun() {
    fixture.setLimitAndHold(1, 1);
    fixture.submit("first", true);
    fixture.submit("second", true);

    fixture.timers.advance(PAST_DEADLINE);

    assertThat(fixture.answers).extracting(WorkResult::outcome).containsExactly(Outcome.NOT_RUN);
  }

  // An instance that was fenced off can start nothing; its callers waited for their deadlines. It
  // was paused, so another home may have run their repeats: it cannot call them not run.
  @Test
  void fencedInstanceAnswersQueuedRequestsAsUnknownWithoutWaitingForDeadlines() {
    fixture.setLimitAndHold(1, 1);
    fixture.submit("running", true);
    fixture.submit("waiting", true);

    fixture.work.refuseQueuedWork();

    assertThat(fixture.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
    assertThat(fixture.answers).extracting(WorkResult::outcome).containsExactly(Outcome.UNKNOWN);
  }

  /** Guards against "not run" for a request whose first try was told as unknown by this home. */
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

  /** Guards against "not run" for a request that ran, and whose answer had no room to be kept. */
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

  /** Guards against "not run" by a home that was paused while others were home of its work. */
  @Test
  void refusalAfterPauseHasUnknownOutcome() {
    fixture.setLimitAndHold(1, 1);
    fixture.submit("running", true);
    fixture.submit("waiting", true);
    fixture.work.soleHomeSince(since -> since > 0);

    fixture.timers.advance(PAST_DEADLINE);

    assertThat(fixture.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
  }

  /** Guards against a request that waits for ever for the answer of a worker that has left. */
  @Test
  void requestThatEndedOnDepartedWorkerIsRunAgain() {
    fixture.setLimitAndHold(1, 1);
    fixture.recordEndedForeignTask("ran");
    assertThat(fixture.work.knows(new WorkKey(WorkServiceFixture.TEAM, "ran"))).isTrue();

    fixture.submit("ran", true);

    assertThat(fixture.placedRequests()).containsExactly("ran");
  }
}
