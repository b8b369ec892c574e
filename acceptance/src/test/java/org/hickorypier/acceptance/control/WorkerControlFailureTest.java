package org.hickorypier.acceptance.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.acceptance.control.ControlBench.SERVICE;
import static org.hickorypier.acceptance.control.ControlBench.WORKER;
import static org.hickorypier.acceptance.control.ControlBench.start;
import static org.hickorypier.acceptance.control.ControlBench.task;

import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.scheduling.TaskEnd;
import org.hickorypier.platform.worker.TaskState;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.worker.TaskHistory;
import org.hickorypier.standins.worker.WorkerOperations;
import org.hickorypier.standins.worker.WorkerSafeguard;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Failures between an instance and a worker, judged by the worker's own record. */
class WorkerControlFailureTest {

  private static final int ROOM = 4;

  private final ControlBench bench = new ControlBench();

  /**
   * Callers of either instance see their work run or hear that it did not. Both instances take the
   * other for gone, so control goes to and fro, and each fills the worker as if it were alone. The
   * worker takes orders only under the last token granted, and refuses what does not fit.
   */
  @Test
  void twoControllersNeverOverfillTheWorker() {
    TwoControllers both = twoControllersFillTheWorker();

    assertThat(bench.worker.history().overCapacity()).isFalse();
    assertThat(bench.worker.history().doubleStarts()).isEmpty();
    assertThat(both.reportedUnstartedButRan()).isEmpty();
    assertThat(bench.worker.history().starts()).isNotEmpty();
  }

  /** A task placed before a pause ran on a worker claimed after it, by a permit that was gone. */
  @Test
  void nothingStartsOnWorkerClaimedAnewBeforeItsWordIsReadBack() {
    bench.firstTakesControl();
    TaskId id = task("labels", 1);
    bench.first.setSpoken(false);

    start(bench.first, id, SERVICE);
    bench.pass(1_000);

    assertThat(bench.first.end(id)).isEqualTo(TaskEnd.NOT_STARTED);
    assertThat(bench.worker.history().starts()).isEmpty();
  }

  /** The same with the worker's safeguards off: the record shows the worker overfull. */
  @Test
  void twoControllersOverfillTheWorkerWithoutItsSafeguards() {
    bench.disable(WorkerSafeguard.CONTROL_TOKEN, WorkerSafeguard.ROOM);

    twoControllersFillTheWorker();

    assertThat(bench.worker.history().overCapacity()).isTrue();
  }

  /**
   * The caller sees one task, whatever became of the order. The connection breaks before, while or
   * after the worker acts on it; the instance keeps the room, asks the worker after the task, and
   * repeats the same order if it is unknown. The worker starts a task id once.
   */
  @ParameterizedTest
  @CsvSource({
    "RESET_BEFORE_EFFECT,  0",
    "RESET_AFTER_EFFECT,   0",
    "LATE_EFFECT,          1",
    "LATE_EFFECT,          700",
    "LATE_EFFECT,          20000",
    "SILENT_BEFORE_EFFECT, 0",
    "SILENT_AFTER_EFFECT,  0",
    "UNAVAILABLE,          0",
  })
  void brokenStartRunsOnce(Fault fault, long delayMillis) {
    bench.firstTakesControl();
    FaultPlan plan = new FaultPlan(WorkerOperations.START, fault, 1, delayMillis);
    bench.first.link(WORKER).faults().plan(plan);
    TaskId id = task("labels", 1);

    start(bench.first, id, "{\"runMillis\":25000}");
    bench.pass(60_000);

    assertThat(bench.first.end(id)).isEqualTo(TaskEnd.COMPLETED);
    assertThat(bench.worker.history().starts()).hasSize(1);
  }

  /** The same with the task id unchecked: the repeated order starts the work again. */
  @Test
  void brokenStartRunsTwiceIfTheWorkerForgetsTaskIds() {
    bench.disable(WorkerSafeguard.TASK_ID);
    bench.firstTakesControl();
    FaultPlan plan = new FaultPlan(WorkerOperations.START, Fault.LATE_EFFECT, 1, 20_000);
    bench.first.link(WORKER).faults().plan(plan);

    start(bench.first, task("labels", 1), "{\"runMillis\":25000}");
    bench.pass(60_000);

    assertThat(bench.record().overlapping()).isNotEmpty();
  }

  /** No connection comes about: the caller hears "not run" at once, and it is true. */
  @Test
  void orderWithoutConnectionIsNotRun() {
    bench.firstTakesControl();
    bench.first.link(WORKER).reachable(false);
    TaskId id = task("labels", 1);

    start(bench.first, id, SERVICE);
    bench.first.link(WORKER).reachable(true);
    bench.pass(60_000);

    assertThat(bench.first.end(id)).isEqualTo(TaskEnd.NOT_STARTED);
    assertThat(bench.worker.history().starts()).isEmpty();
  }

  /**
   * The order is still on its way when control moves. The first instance sees a higher token and no
   * such task: nothing can run under that order any more, because the worker refuses it when it
   * comes at last. The end is "lost", not "not started": a worker that has restarted would give the
   * same answer about a task that ran, so a request that is not idempotent is not run again.
   */
  @Test
  void orderUnderWayWhileControlMovesNeverRuns() {
    TaskId id = orderUnderWayWhileControlMoves();

    assertThat(bench.first.end(id)).isEqualTo(TaskEnd.LOST);
    assertThat(bench.worker.history().starts()).isEmpty();
  }

  /** The same with the token unchecked: the work is given up and then runs all the same. */
  @Test
  void orderUnderWayWhileControlMovesRunsWithoutTheToken() {
    bench.disable(WorkerSafeguard.CONTROL_TOKEN);

    TaskId id = orderUnderWayWhileControlMoves();

    assertThat(bench.first.end(id)).isEqualTo(TaskEnd.LOST);
    assertThat(bench.worker.history().starts()).hasSize(1);
  }

  /**
   * The caller's label run is never under way twice. The holder pauses past its leases, so its task
   * lapses; the other instance takes over and runs the work again. The holder wakes with the first
   * order's repetition still to send, and the worker refuses it.
   */
  @Test
  void holderThatWakesAfterItsLeaseStartsNothing() {
    holderPausesPastItsLease();

    assertThat(bench.record().overlapping()).isEmpty();
    assertThat(bench.first.holds(WORKER)).isFalse();
    assertThat(bench.worker.history().starts())
        .filteredOn(run -> run.owner().equals("first#1"))
        .hasSize(1);
  }

  /** The same with the worker's safeguards off: the woken holder's order runs beside the other. */
  @Test
  void holderThatWakesAfterItsLeaseRunsWorkTwiceWithoutSafeguards() {
    bench.disable(WorkerSafeguard.CONTROL_TOKEN, WorkerSafeguard.TASK_ID);

    holderPausesPastItsLease();

    assertThat(bench.record().overlapping()).isNotEmpty();
  }

  /**
   * The caller sees the work end as lost, and only when it has ended. The worker is cut off from
   * its controller while the task goes on; without renewals the worker stops it at the end of its
   * lease, and the controller waits for longer than that.
   */
  @Test
  void workOnUnreachableWorkerIsLostOnlyAfterItEnded() {
    bench.firstTakesControl();
    TaskId id = task("labels", 1);
    start(bench.first, id, SERVICE);
    bench.pass(25_000);
    bench.first.link(WORKER).reachable(false);

    bench.pass(120_000);

    assertThat(bench.first.end(id)).isEqualTo(TaskEnd.LOST);
    TaskHistory run = bench.worker.history().starts().get(0);
    assertThat(run.state()).isEqualTo(TaskState.LAPSED);
    assertThat(bench.first.reportMillis(id)).isGreaterThanOrEqualTo(run.endMillis());
  }

  /** The worker restarts in mid-task: the work is lost, not forgotten, and its room is free. */
  @Test
  void workOnRestartedWorkerIsLost() {
    bench.firstTakesControl();
    TaskId id = task("labels", 1);
    start(bench.first, id, SERVICE);
    bench.pass(1_000);
    bench.worker.restart();

    bench.pass(60_000);

    assertThat(bench.first.end(id)).isEqualTo(TaskEnd.LOST);
    assertThat(bench.first.holds(WORKER)).isTrue();
  }

  /** The answer breaks off or its connection goes silent: the caller still gets all of it. */
  @ParameterizedTest
  @CsvSource({"CUT_BODY", "RESET_BEFORE_EFFECT", "SILENT_AFTER_EFFECT", "UNAVAILABLE"})
  void brokenAnswerIsAskedForAgain(Fault fault) {
    bench.firstTakesControl();
    bench.first.link(WORKER).faults().plan(new FaultPlan(WorkerOperations.ANSWER, fault, 2, 0));
    TaskId id = task("check", 1);
    byte[] payload = ControlBench.bytes("{\"runMillis\":50,\"answerBytes\":30000}");

    bench.first.start(id, WORKER, ControlBench.QUARTER, WorkClass.REQUEST, payload);
    bench.pass(60_000);

    assertThat(bench.first.end(id)).isEqualTo(TaskEnd.COMPLETED);
    assertThat(bench.first.report(id).body()).hasSize(30_000);
    assertThat(new String(bench.first.report(id).body())).startsWith("task " + id.text() + " ");
    assertThat(bench.worker.history().starts()).hasSize(1);
  }

  private TwoControllers twoControllersFillTheWorker() {
    bench.firstTakesControl();
    bench.first.seeGone(bench.second);
    TwoControllers both = new TwoControllers(bench);
    both.fill(bench.first, "first", ROOM);
    bench.secondTakesOver();
    both.fill(bench.second, "second", ROOM);
    both.fill(bench.first, "late", ROOM);
    for (int round = 0; round < 5; round++) {
      bench.pass(ControllerNode.RENEWAL_MILLIS);
      both.fill(bench.first, "first-" + round, 1);
      both.fill(bench.second, "second-" + round, 1);
    }
    return both;
  }

  private TaskId orderUnderWayWhileControlMoves() {
    bench.firstTakesControl();
    FaultPlan plan = new FaultPlan(WorkerOperations.START, Fault.LATE_EFFECT, 1, 8_000);
    bench.first.link(WORKER).faults().plan(plan);
    TaskId id = task("labels", 1);
    start(bench.first, id, SERVICE);
    bench.secondTakesOver();
    bench.pass(7_000);
    bench.pass(10_000);
    return id;
  }

  private void holderPausesPastItsLease() {
    bench.firstTakesControl();
    TaskId firstAttempt = task("labels", 1);
    start(bench.first, firstAttempt, SERVICE);
    bench.pass(1_000);
    bench.first.pause();
    start(bench.first, firstAttempt, SERVICE);
    bench.pass(ControllerNode.LEASE_MILLIS + 1);
    assertThat(bench.worker.history().starts().get(0).state()).isEqualTo(TaskState.LAPSED);
    bench.secondTakesOver();
    start(bench.second, task("labels", 2), SERVICE);
    bench.pass(1_000);

    bench.first.resume();
    bench.pass(60_000);
  }
}
