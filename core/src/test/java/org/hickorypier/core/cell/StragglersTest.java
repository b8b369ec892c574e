package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.CAPACITY;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;

import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.junit.jupiter.api.Test;

/** Workers that turn slow or stand still while they answer everything. */
class StragglersTest {

  private static final long WORK_MILLIS = 800;

  private final CellFixture fixture = new CellFixture(1);

  private static StepSpec step(StepFlags flags) {
    Resources whole = new Resources(CAPACITY.milliProcessors(), 1_000, 0);
    return new StepSpec(1, whole, WORK_MILLIS, List.of(), flags, "", "", 0, "", 0, 0);
  }

  private void start(StepFlags flags) {
    listWorkers();
    learn();
    fixture.submit(spec("s", QUEUE, step(flags)));
    fixture.confirmAll();
  }

  private void listWorkers() {
    for (int index = 0; index < 4; index++) {
      fixture.addWorker("w" + index);
    }
  }

  /** Lets some tasks of the queue end, so that their usual length is known. */
  private void learn() {
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

  /** Lets time pass while the run gets on at some part of the usual speed. */
  private void watch(double speed, long millis) {
    Run run = fixture.starts.get(0).run();
    for (long passed = 100; passed <= millis; passed += 100) {
      fixture.advance(95);
      int percent = (int) (100 * speed * passed / WORK_MILLIS);
      fixture.reportProgress(run.worker(), new RunningTask(run.key(), "", percent));
    }
  }

  /**
   * A worker does its work six times slower. The caller's check of 0.8 s would take 4.8 s there,
   * and miss its objective. By its progress it is found within half a second, stopped, and started
   * on another worker; the slow one gets nothing more for now.
   */
  @Test
  void taskIsTakenAwayFromSlowWorker() {
    start(StepFlags.PLAIN);
    final Run slow = fixture.starts.get(0).run();
    watch(1.0 / 6, 500);
    assertThat(fixture.stops).containsExactly(slow.key());

    fixture.reportFrom(slow.worker(), new EndedRun(2_000, slow.key(), RunEnd.STOPPED, ""));
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(fixture.starts.get(1).run().worker()).isNotSameAs(slow.worker());
    assertThat(slow.worker().takesWork(fixture.now)).isFalse();
  }

  /** A worker answers, counts as well, and never gets on with what it was told to start. */
  @Test
  void taskIsTakenAwayFromWorkerThatStandsStill() {
    start(StepFlags.PLAIN);
    watch(0, 500);
    assertThat(fixture.stops).hasSize(1);
  }

  /** Callers' estimates are off by up to nine tenths, so they alone condemn nobody. */
  @Test
  void nothingIsMovedBeforeTheUsualLengthIsKnown() {
    listWorkers();
    fixture.submit(spec("s", QUEUE, step(StepFlags.PLAIN)));
    fixture.confirmAll();
    watch(1.0 / 6, 900);
    assertThat(fixture.stops).isEmpty();
  }

  @Test
  void runsOfSoundWorkersAreLeftAlone() {
    start(StepFlags.PLAIN);
    watch(1 / 1.5, 900);
    assertThat(fixture.stops).isEmpty();
  }

  /** What fills gaps is slow because others use the worker, and would be as slow elsewhere. */
  @Test
  void whatFillsGapsIsLeftAlone() {
    start(new StepFlags(false, false, false, false, false, true));
    watch(1.0 / 6, 900);
    assertThat(fixture.stops).isEmpty();
  }

  /** If all workers seem slow, the expectation is wrong: most of them must go on taking work. */
  @Test
  void mostWorkersGoOnTakingWork() {
    listWorkers();
    learn();
    for (int index = 0; index < 4; index++) {
      fixture.submit(spec("s" + index, QUEUE, step(StepFlags.PLAIN)));
    }
    fixture.confirmAll();
    for (int look = 1; look <= 6; look++) {
      fixture.advance(95);
      for (CellFixture.StartedRun started : List.copyOf(fixture.starts)) {
        Run run = started.run();
        fixture.reportProgress(run.worker(), new RunningTask(run.key(), "", look));
      }
    }
    assertThat(fixture.cell.workers()).filteredOn(each -> each.takesWork(fixture.now)).hasSize(3);
  }
}
