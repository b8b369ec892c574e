package org.hickorypier.daemon.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.hickorypier.core.model.Outcome;
import org.junit.jupiter.api.Test;

class WorkServiceTest {

  private static final Duration PAST_THE_DEADLINE = Duration.ofSeconds(11);

  private final WorkBench bench = new WorkBench();

  // A request that was given up before anything of it was ordered must be said not to have run.
  @Test
  void requestThatNeverStartedIsRefusedAsNotRun() {
    bench.hold(1, 1);
    bench.submit("first", true);
    bench.submit("second", true);

    bench.timers.advance(PAST_THE_DEADLINE);

    assertThat(bench.answers).extracting(WorkResult::outcome).containsExactly(Outcome.NOT_RUN);
  }

  // An instance that was fenced off can start nothing; its callers waited for their deadlines.
  @Test
  void waitingRequestsAreRefusedAtOnceWhenAnInstanceStartsAnew() {
    bench.hold(1, 1);
    bench.submit("running", true);
    bench.submit("waiting", true);

    bench.work.refuseWaiting();

    assertThat(bench.answers).extracting(WorkResult::outcome).containsExactly(Outcome.NOT_RUN);
  }
}
