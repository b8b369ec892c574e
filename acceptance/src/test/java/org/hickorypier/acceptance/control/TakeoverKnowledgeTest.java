package org.hickorypier.acceptance.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What an instance says of the tasks on workers that change hands. */
class TakeoverKnowledgeTest {

  private final ControlBench bench = new ControlBench();

  /** Guards against a second run of a request whose task fills a worker not yet taken over. */
  @Test
  void workerOfAnInstanceThatIsGoneIsNotKnownUntilItIsTakenOver() {
    bench.firstTakesControl();
    bench.second.want(ControlBench.WORKER, ControlBench.LIST);
    bench.pass(2_000);
    assertThat(bench.second.knowsAllTasks()).isTrue();

    bench.second.seeGone(bench.first);

    assertThat(bench.second.knowsAllTasks()).isFalse();
    bench.pass(2_000);
    assertThat(bench.second.holds(ControlBench.WORKER)).isTrue();
    assertThat(bench.second.knowsAllTasks()).isTrue();
  }

  /** Guards against an instance that has just started and knows of no worker yet. */
  @Test
  void nothingIsKnownBeforeTheWorkersAreListed() {
    assertThat(bench.first.knowsAllTasks()).isFalse();
  }
}
