package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.CAPACITY;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.estimation.RunTimeEstimator;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.junit.jupiter.api.Test;

/** Tests the detection of workers that are slow or stalled while they answer all requests. */
class StragglerDetectorTest {

  private static final long WORK_MILLIS = 800;

  private CellFixture fixture = new CellFixture(1);

  private static StepSpec step(StepFlags flags) {
    Resources whole = new Resources(CAPACITY.milliProcessors(), 1_000, 0);
    return new StepSpec(1, whole, WORK_MILLIS, List.of(), flags, "", "", 0, "", 0, 0);
  }

  private void start(StepFlags flags) {
    listWorkers();
    completeEarlierTasks();
    fixture.submit(spec("s", QUEUE, step(flags)));
    fixture.confirmAll();
  }

  private void listWorkers() {
    for (int index = 0; index < 4; index++) {
      fixture.addWorker("w" + index);
    }
  }

  /** Completes some tasks of the queue, so that the expected run time is known. */
  private void completeEarlierTasks() {
    StepSpec five = CellFixture.step(5, 100, WORK_MILLIS, false);
    fixture.submit(spec("earlier", QUEUE, five));
    fixture.confirmAll();
    fixture.advance(WORK_MILLIS);
    EndedRun[] ends = new EndedRun[fixture.starts.size()];
    for (int index = 0; index < ends.length; index++) {
      Run run = fixture.starts.get(index).run();
      ends[index] = new EndedRun(1_000 + index, run.key(), RunEnd.DONE, "");
    }
    fixture.reportFrom(fixture.starts.get(0).run().worker(), ends);
    fixture.writePending();
    fixture.starts.clear();
    fixture.cell.workers().forEach(fixture::reportFrom);
  }

  private void archiveEarlierTasks() {
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
  }

  /** Advances the time while the run progresses at a fraction of the expected speed. */
  private void reportProgress(double speed, long millis) {
    Run run = fixture.starts.get(0).run();
    for (long passed = 100; passed <= millis; passed += 100) {
      fixture.advance(95);
      int percent = (int) (100 * speed * passed / WORK_MILLIS);
      fixture.reportProgress(run.worker(), new RunningTask(run.key(), "", percent));
    }
  }

  /**
   * Guards against a check that misses its objective on a worker that runs tasks six times slower:
   * a check of 0.8 s would take 4.8 s there. Its progress shows this within half a second; the run
   * is stopped and started on another worker, and the slow worker gets no orders for a while.
   */
  @Test
  void taskIsMovedAwayFromSlowWorker() {
    start(StepFlags.NONE);
    final Run slow = fixture.starts.get(0).run();
    reportProgress(1.0 / 6, 500);
    assertThat(fixture.stops).containsExactly(slow.key());

    fixture.reportFrom(slow.worker(), new EndedRun(2_000, slow.key(), RunEnd.STOPPED, ""));
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(fixture.starts.get(1).run().worker()).isNotSameAs(slow.worker());
    assertThat(slow.worker().acceptsOrders(fixture.now)).isFalse();
  }

  /**
   * Guards against a task that never ends on a worker that answers, counts as healthy and makes no
   * progress with the runs that it was ordered to start.
   */
  @Test
  void taskIsMovedAwayFromStalledWorker() {
    start(StepFlags.NONE);
    reportProgress(0, 500);
    assertThat(fixture.stops).hasSize(1);
  }

  /** Callers' estimates are off by up to 90%, so they alone do not make a worker count as slow. */
  @Test
  void noTaskIsMovedBeforeExpectedRunTimeIsKnown() {
    listWorkers();
    fixture.submit(spec("s", QUEUE, step(StepFlags.NONE)));
    fixture.confirmAll();
    reportProgress(1.0 / 6, 900);
    assertThat(fixture.stops).isEmpty();
  }

  /**
   * Guards against moves of tasks that are long by themselves: three in a hundred take seven times
   * the usual time, and would start anew for nothing.
   */
  @Test
  void taskIsNotMovedIfQueueHasTasksAsLong() {
    start(StepFlags.NONE);
    completeLongTask();
    reportProgress(1.0 / 6, 900);
    assertThat(fixture.stops).isEmpty();
  }

  /** A long task was fast at no time; one that was fast before is on a disturbed worker. */
  @Test
  void taskThatBecomesSlowIsMovedEvenIfQueueHasLongTasks() {
    start(StepFlags.NONE);
    completeLongTask();
    final Run run = fixture.starts.get(0).run();
    for (int percent : new int[] {13, 25, 38, 39, 40, 41, 42, 43, 44, 45, 46}) {
      fixture.advance(95);
      fixture.reportProgress(run.worker(), new RunningTask(run.key(), "", percent));
    }
    assertThat(fixture.stops).containsExactly(run.key());
  }

  /** Guards against moves that cost more than they save, where a stop and a restore are slow. */
  @Test
  void taskIsNotMovedIfStopAndRestoreTakeLonger() {
    InterruptionCost cost = new InterruptionCost(1_000, 1_500, 2_000);
    DecisionSettings decisions = new DecisionSettings(true, true, true, true, Optional.of(cost));
    fixture = new CellFixture(1, CellFixture.TIMINGS.withDecisions(decisions));
    start(new StepFlags(false, false, true, false, false, false));
    reportProgress(1.0 / 6, 900);
    assertThat(fixture.stops).isEmpty();
  }

  /** Guards against moves that throw away more than half of a task's work. */
  @Test
  void taskWithoutCheckpointsIsNotMovedPastHalf() {
    start(StepFlags.NONE);
    final Run run = fixture.starts.get(0).run();
    for (int percent : new int[] {13, 26, 39, 52, 53, 54, 55, 56, 57, 58, 59, 60, 61}) {
      fixture.advance(95);
      fixture.reportProgress(run.worker(), new RunningTask(run.key(), "", percent));
    }
    assertThat(fixture.stops).isEmpty();
  }

  /** Guards against moves from worker to worker where the expected run time is wrong. */
  @Test
  void estimateCountsAsWrongIfThirdOfWorkersSeemSlow() {
    for (int index = 0; index < 12; index++) {
      fixture.addWorker("w" + index);
    }
    completeEarlierTasks();
    for (int index = 0; index < 12; index++) {
      fixture.submit(spec("s" + index, QUEUE, step(StepFlags.NONE)));
    }
    fixture.confirmAll();
    for (int percent = 1; percent <= 6; percent++) {
      fixture.advance(95);
      for (CellFixture.StartedRun started : List.copyOf(fixture.starts)) {
        Run run = started.run();
        fixture.reportProgress(run.worker(), new RunningTask(run.key(), "", percent));
      }
    }
    assertThat(fixture.stops).hasSizeLessThanOrEqualTo(4);
    assertThat(fixture.events).filteredOn(each -> each.contains(" estimate-wrong ")).hasSize(1);
  }

  /**
   * Guards against a task that each new owner moves twice again, and against a write for each move.
   */
  @Test
  void successorKnowsMovesAndLongTaskFromOneWrite() {
    start(StepFlags.NONE);
    Run slow = fixture.starts.get(0).run();
    archiveEarlierTasks();
    final int writes = fixture.progressWrites;
    reportProgress(1.0 / 6, 500);
    fixture.reportFrom(slow.worker(), new EndedRun(2_000, slow.key(), RunEnd.STOPPED, ""));
    fixture.pass();
    fixture.writePending();
    assertThat(fixture.progressWrites).isEqualTo(writes);

    fixture.starts.remove(0);
    fixture.confirmAll();
    reportProgress(1.0 / 6, 500);
    assertThat(fixture.stops).hasSize(1);
    fixture.advance(1_000);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    assertThat(fixture.progressWrites).isEqualTo(writes + 1);
    Task restored = fixture.successorFromStore(2).cell.find("s").task(slow.key().task());
    assertThat(restored.migrations).isEqualTo(1);
    assertThat(restored.longByItself).isTrue();
  }

  /** Guards against moves that no record carries, since their submission does not change. */
  @Test
  void movesAreWrittenAfterOneSecondWithoutOtherChanges() {
    start(StepFlags.NONE);
    final Run slow = fixture.starts.get(0).run();
    archiveEarlierTasks();
    final int writes = fixture.progressWrites;
    reportProgress(1.0 / 6, 500);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    assertThat(fixture.progressWrites).isEqualTo(writes);
    fixture.advance(1_000);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    assertThat(fixture.progressWrites).isEqualTo(writes + 1);
    Submission restored = fixture.successorFromStore(2).cell.find("s");
    assertThat(restored.task(slow.key().task()).migrations).isEqualTo(1);
  }

  /** Tells the cell of a task of the queue that takes six times as long as the others. */
  private void completeLongTask() {
    Submission known = fixture.cell.find("s");
    RunTimeEstimator runTimes = fixture.cell.runTimes();
    runTimes.recordRun(known.spec().queue().name(), WORK_MILLIS, 6 * WORK_MILLIS, 1);
  }

  @Test
  void runsOfHealthyWorkersAreNotMoved() {
    start(StepFlags.NONE);
    reportProgress(1 / 1.5, 900);
    assertThat(fixture.stops).isEmpty();
  }

  /**
   * A gap-filling task is slow because other tasks use the worker, and would be as slow elsewhere.
   */
  @Test
  void gapFillingTasksAreNotMoved() {
    start(new StepFlags(false, false, false, false, false, true));
    reportProgress(1.0 / 6, 900);
    assertThat(fixture.stops).isEmpty();
  }

  /**
   * If all workers seem slow, the expected run time is wrong, and most of them must continue to get
   * orders.
   */
  @Test
  void mostWorkersContinueToAcceptOrders() {
    listWorkers();
    completeEarlierTasks();
    for (int index = 0; index < 4; index++) {
      fixture.submit(spec("s" + index, QUEUE, step(StepFlags.NONE)));
    }
    fixture.confirmAll();
    for (int percent = 1; percent <= 6; percent++) {
      fixture.advance(95);
      for (CellFixture.StartedRun started : List.copyOf(fixture.starts)) {
        Run run = started.run();
        fixture.reportProgress(run.worker(), new RunningTask(run.key(), "", percent));
      }
    }
    assertThat(fixture.cell.workers())
        .filteredOn(each -> each.acceptsOrders(fixture.now))
        .hasSize(3);
  }
}
