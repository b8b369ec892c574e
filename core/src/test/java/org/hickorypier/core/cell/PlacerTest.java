package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.junit.jupiter.api.Test;

class PlacerTest {

  private final List<WorkerView> workers = new ArrayList<>();

  private WorkerView worker(String id, String rack, long processors) {
    WorkerView worker =
        new WorkerView(
            new WorkerEntry(
                id,
                "service",
                "10.0.0.1:1",
                false,
                0,
                new Resources(processors, 64_000, 0),
                List.of("a", rack),
                1),
            1);
    workers.add(worker);
    return worker;
  }

  private Map<Task, WorkerView> choose(StepSpec spec) {
    StepRun run = new Submission(spec("s", QUEUE, spec), 1, 0, 1).occurrences[0][0];
    return Placer.choose(run, List.of(run.tasks), workers, next -> true, 0);
  }

  private WorkerView workerOfSpeed(String id, double factor) {
    WorkerView worker = worker(id, "r1", 16_000);
    worker.placingFactor = factor;
    return worker;
  }

  private Map<Task, WorkerView> chooseBySpeed(StepSpec spec, boolean urgent, double allowedFactor) {
    StepRun run = new Submission(spec("s", QUEUE, spec), 1, 0, 1).occurrences[0][0];
    run.placedBySpeed = true;
    run.urgent = urgent;
    run.allowedFactor = allowedFactor;
    return Placer.choose(run, List.of(run.tasks), workers, next -> true, 0);
  }

  private static StepSpec stepWith(int count, StepFlags flags, String affinity, int antiAffinity) {
    return new StepSpec(
        count,
        new Resources(4_000, 1_000, 0),
        1_000,
        List.of(),
        flags,
        "",
        affinity,
        antiAffinity,
        "",
        0,
        0);
  }

  @Test
  void bestFitLeavesEmptyWorkersForWideTasks() {
    worker("empty", "r1", 16_000);
    WorkerView used = worker("used", "r1", 5_000);
    assertThat(choose(step(1, 4_000, 1_000, false)).values()).containsOnly(used);
  }

  @Test
  void gangIsPlacedCompletelyOrNotAtAll() {
    worker("one", "r1", 8_000);
    assertThat(choose(step(3, 4_000, 1_000, true))).isEmpty();
    worker("two", "r1", 4_000);
    assertThat(choose(step(3, 4_000, 1_000, true))).hasSize(3);
  }

  @Test
  void sameRackGangWaitsForOneRackBeforeItSpreads() {
    worker("one", "r1", 8_000);
    worker("two", "r2", 8_000);
    StepFlags oneRack = new StepFlags(true, true, false, false, false, false);
    assertThat(choose(stepWith(3, oneRack, "", 0))).isEmpty();
    WorkerView third = worker("three", "r2", 4_000);
    assertThat(choose(stepWith(3, oneRack, "", 0)).values()).contains(third);
  }

  @Test
  void tasksPreferWorkersWithTheirAffinityLabel() {
    worker("far", "r1", 4_000);
    WorkerView near = worker("near", "r2", 16_000);
    assertThat(choose(stepWith(1, StepFlags.NONE, "r2", 0)).values()).containsOnly(near);
  }

  /** Guards against checks that are late on a slow worker while a fast one has room. */
  @Test
  void urgentAndTightWorkTakesFastWorkersUntilTheyAreFull() {
    WorkerView slow = workerOfSpeed("slow", 1.75);
    WorkerView fast = workerOfSpeed("fast", 0.75);
    assertThat(chooseBySpeed(step(4, 4_000, 1_000, false), true, 9).values()).containsOnly(fast);
    assertThat(chooseBySpeed(step(4, 4_000, 1_000, false), false, 1.2).values()).containsOnly(fast);
    assertThat(chooseBySpeed(step(5, 4_000, 1_000, false), true, 9).values()).contains(slow);
  }

  /**
   * Guards against batches that take the room of checks, and against those that are late for it.
   */
  @Test
  void workWithSlackTakesSlowestWorkersOnWhichItIsInTime() {
    workerOfSpeed("slow", 1.75);
    workerOfSpeed("fast", 0.75);
    WorkerView usual = workerOfSpeed("usual", 1);
    assertThat(chooseBySpeed(step(2, 4_000, 1_000, false), false, 3).values())
        .containsOnly(workers.get(0));
    assertThat(chooseBySpeed(step(2, 4_000, 1_000, false), false, 1.6).values())
        .containsOnly(usual);
  }

  /** Guards against gangs that are slowed down by one slow member. */
  @Test
  void gangUsesWorkersOfLikeSpeed() {
    WorkerView slow = workerOfSpeed("slow", 1.75);
    WorkerView fast = workerOfSpeed("fast", 0.75);
    WorkerView alike = workerOfSpeed("alike", 0.75);
    assertThat(chooseBySpeed(step(6, 4_000, 1_000, true), true, 9).values())
        .containsOnly(fast, alike);
    assertThat(chooseBySpeed(step(6, 4_000, 1_000, true), false, 9).values())
        .containsOnly(fast, alike);
    assertThat(chooseBySpeed(step(4, 4_000, 1_000, true), false, 9).values()).containsOnly(slow);
    assertThat(chooseBySpeed(step(4, 4_000, 1_000, true), false, 1.6).values())
        .doesNotContain(slow);
    assertThat(chooseBySpeed(step(9, 4_000, 1_000, true), true, 9).values()).contains(slow);
  }

  /** Guards against a gang that runs again on the worker where it failed. */
  @Test
  void gangAvoidsFastWorkerWhereItFailed() {
    final WorkerView slow = workerOfSpeed("slow", 1.75);
    WorkerView fast = workerOfSpeed("fast", 0.75);
    StepRun run =
        new Submission(spec("s", QUEUE, step(2, 4_000, 1_000, true)), 1, 0, 1).occurrences[0][0];
    run.placedBySpeed = true;
    run.urgent = true;
    run.tasks[0].avoidedWorker = fast;
    assertThat(Placer.choose(run, List.of(run.tasks), workers, next -> true, 0).values())
        .containsOnly(slow);
  }

  @Test
  void antiAffinityLimitsTasksPerWorker() {
    worker("one", "r1", 16_000);
    worker("two", "r1", 16_000);
    assertThat(choose(stepWith(4, StepFlags.NONE, "", 1))).hasSize(2);
  }
}
