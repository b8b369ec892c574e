package org.hickorypier.acceptance.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.acceptance.control.ControlBench.SERVICE;
import static org.hickorypier.acceptance.control.ControlBench.WORKER;
import static org.hickorypier.acceptance.control.ControlBench.start;
import static org.hickorypier.acceptance.control.ControlBench.task;

import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.scheduling.TaskEnd;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.worker.WorkerOperations;
import org.junit.jupiter.api.Test;

/** A worker that restarts while the fate of an order is open. */
class WorkerRestartTest {

  private static final TaskId ID = task("labels", 1);

  private final ControlBench bench = new ControlBench();

  /**
   * The caller must not hear "not run". The answer to the start is lost, and the worker restarts
   * before it is asked again: it has forgotten the task, and its token is higher than the order's,
   * just as if the order had never come. Only the record before the restart knows that it ran.
   */
  @Test
  void taskForgottenInRestartIsNotCalledUnstarted() {
    orderWith(Fault.RESET_AFTER_EFFECT, 0);
    bench.worker.restart();

    bench.pass(60_000);

    assertThat(bench.worker.history().starts()).hasSize(1);
    assertThat(bench.first.end(ID)).isEqualTo(TaskEnd.LOST);
  }

  /**
   * The work does not run after it was given up. The start is still under way when the worker
   * restarts; it carries the token of before, which the restarted worker refuses.
   */
  @Test
  void orderUnderWayThroughRestartIsRefused() {
    orderWith(Fault.LATE_EFFECT, 8_000);
    bench.worker.restart();

    bench.pass(7_000);
    TaskEnd before = bench.first.end(ID);
    bench.pass(60_000);

    assertThat(before).isNotNull().isNotEqualTo(TaskEnd.COMPLETED);
    assertThat(bench.worker.history().starts()).isEmpty();
    assertThat(bench.first.holds(WORKER)).isTrue();
  }

  private void orderWith(Fault fault, long delayMillis) {
    bench.firstTakesControl();
    FaultPlan plan = new FaultPlan(WorkerOperations.START, fault, 1, delayMillis);
    bench.first.link(WORKER).faults().plan(plan);
    start(bench.first, ID, SERVICE);
  }
}
