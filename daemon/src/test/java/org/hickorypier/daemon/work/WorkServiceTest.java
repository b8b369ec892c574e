package org.hickorypier.daemon.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.scheduling.TaskEnd;
import org.junit.jupiter.api.Test;

class WorkServiceTest {

  private static final Duration PAST_THE_DEADLINE = Duration.ofSeconds(11);

  private final WorkBench bench = new WorkBench();

  // A permit that another instance holds and uses again was used here too: the team ran over its
  // limit.
  @Test
  void endOfAnotherInstancesTaskStartsNothingBeyondOwnPermits() {
    bench.hold(2, 1);
    final TaskId foreign = bench.findTaskOfAnother("foreign");
    bench.submit("first", true);
    bench.submit("second", true);
    assertThat(bench.placedRequests()).containsExactly("first");

    bench.end(foreign, TaskEnd.COMPLETED);

    assertThat(bench.placedRequests()).containsExactly("first");
  }

  // A request whose first run was lost was said not to have run once its second found no place.
  @Test
  void requestThatMayHaveRunIsNotRefusedAsNotRun() {
    bench.hold(1, 1);
    bench.submit("first", true);
    TaskId run = bench.placed.get(0).taskId();
    bench.submit("second", true);

    bench.end(run, TaskEnd.LOST);
    bench.timers.advance(PAST_THE_DEADLINE);

    assertThat(bench.placedRequests()).containsExactly("first", "second");
    assertThat(bench.answers).extracting(WorkResult::outcome).containsExactly(Outcome.UNKNOWN);
  }

  // The same request, refused before anything of it was ordered, did not run.
  @Test
  void requestThatNeverStartedIsRefusedAsNotRun() {
    bench.hold(1, 1);
    bench.submit("first", true);
    bench.submit("second", true);

    bench.timers.advance(PAST_THE_DEADLINE);

    assertThat(bench.answers).extracting(WorkResult::outcome).containsExactly(Outcome.NOT_RUN);
  }

  // An instance that was fenced off can start nothing; its callers waited for their deadlines. It
  // was paused, so another home may have run their repeats: it cannot call them not run.
  @Test
  void waitingRequestsAreSentAwayAtOnceWhenAnInstanceStartsAnew() {
    bench.hold(1, 1);
    bench.submit("running", true);
    bench.submit("waiting", true);

    bench.work.refuseWaiting();

    assertThat(bench.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
    assertThat(bench.answers).extracting(WorkResult::outcome).containsExactly(Outcome.UNKNOWN);
  }

  /** Guards against "not run" for a request whose first try was told as unknown by this home. */
  @Test
  void repeatOfAnUnknownRequestIsNotRefusedAsNotRun() {
    bench.hold(1, 1);
    bench.submit("first", true);
    TaskId run = bench.placed.get(0).taskId();
    bench.submit("second", true);
    bench.end(run, TaskEnd.LOST);
    bench.timers.advance(PAST_THE_DEADLINE);
    bench.answers.clear();

    bench.submit("first", true);
    bench.timers.advance(PAST_THE_DEADLINE);

    assertThat(bench.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
  }

  /** Guards against "not run" for a request that ran, and whose answer had no room to be kept. */
  @Test
  void repeatAfterDroppedAnswerIsNotRefusedAsNotRun() {
    bench.hold(1, 1);
    bench.submit("ran", true);
    bench.end(bench.placed.get(0).taskId(), TaskEnd.COMPLETED);
    for (int number = 0; number < WorkBench.ANSWERS_KEPT; number++) {
      bench.submit("later-" + number, true);
      bench.end(bench.placed.get(number + 1).taskId(), TaskEnd.COMPLETED);
    }
    bench.submit("in the way", true);
    bench.answers.clear();

    bench.submit("ran", true);
    bench.timers.advance(PAST_THE_DEADLINE);

    assertThat(bench.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
  }

  /** Guards against "not run" by a home that was paused while others were home of its work. */
  @Test
  void refusalAfterPauseIsNotCertain() {
    bench.hold(1, 1);
    bench.submit("running", true);
    bench.submit("waiting", true);
    bench.work.soleHomeSince(since -> since > 0);

    bench.timers.advance(PAST_THE_DEADLINE);

    assertThat(bench.answers).hasOnlyElementsOfType(WorkResult.Unsettled.class);
  }

  /** Guards against a request that waits for ever for the answer of a worker that has left. */
  @Test
  void requestThatEndedOnWorkerThatHasLeftIsRunAgain() {
    bench.hold(1, 1);
    bench.findEndOfAnother("ran");
    assertThat(bench.work.knows(new WorkKey(WorkBench.TEAM, "ran"))).isTrue();

    bench.submit("ran", true);

    assertThat(bench.placedRequests()).containsExactly("ran");
  }
}
