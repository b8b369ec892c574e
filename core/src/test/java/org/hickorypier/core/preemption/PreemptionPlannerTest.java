package org.hickorypier.core.preemption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.junit.jupiter.api.Test;

/** Two full workers with runs of 5 cores, and a step of two tasks of 5 cores for 4 s. */
class PreemptionPlannerTest {

  private static final long NEVER = Long.MAX_VALUE;
  private static final Resources SIZE = new Resources(5_000, 100, 0);
  private static final Room FULL = new Room(0, 10_000, 0);

  private static PreemptionCandidate run(String id, String worker, long unsaved) {
    return run(id, worker, unsaved, "other", NEVER, true);
  }

  private static PreemptionCandidate run(
      String id, String worker, long unsaved, String customer, long since, boolean punctual) {
    return new PreemptionCandidate(id, worker, customer, 2, SIZE, unsaved, since, punctual, true);
  }

  private static Optional<PreemptionPlan> plan(
      long millis, long unreserved, Room limit, long stoppable, PreemptionCandidate... runs) {
    List<WorkerRoom> workers =
        List.of(new WorkerRoom("w1", FULL, 9), new WorkerRoom("w2", FULL, 9));
    PreemptionRequest request =
        new PreemptionRequest(
            "own", 1, 2, SIZE, millis, workers, unreserved, limit, false, 500, stoppable);
    return new PreemptionPlanner().plan(request, List.of(runs));
  }

  private static Optional<List<String>> victims(PreemptionCandidate... runs) {
    return victims(plan(4_000, NEVER / 2, Room.UNLIMITED, 10_000, runs));
  }

  private static Optional<List<String>> victims(Optional<PreemptionPlan> plan) {
    return plan.map(
        found -> found.victims().stream().map(PreemptionCandidate::run).sorted().toList());
  }

  @Test
  void leastLossIsChosenAmongPunctualRuns() {
    PreemptionCandidate late = run("late", "w1", 0, "other", NEVER, false);
    PreemptionCandidate cheap = run("b", "w2", 100);
    assertThat(victims(run("a", "w1", 400), cheap, run("c", "w2", 200), late))
        .contains(List.of("b", "c"));
    assertThat(victims(cheap, late)).contains(List.of("b", "late"));
  }

  /** Guards against batches that are stopped again and again until they are of no use. */
  @Test
  void runIsNotStoppedIfItsSubmissionBecomesUseless() {
    PreemptionCandidate lost =
        new PreemptionCandidate("lost", "w1", "other", 2, SIZE, 0, NEVER, false, false);
    assertThat(victims(run("b", "w2", 100), lost)).isEmpty();
  }

  @Test
  void lossIsAtMostQuarterOfTheWork() {
    PreemptionCandidate[] runs = {run("a", "w1", 500), run("b", "w2", 500)};
    Room room = Room.UNLIMITED;
    assertThat(plan(4_000, NEVER / 2, room, 10_000, runs).orElseThrow().lossCoreMillis())
        .isEqualTo(10_000);
    assertThat(plan(3_999, NEVER / 2, room, 10_000, runs)).isEmpty();
  }

  @Test
  void nothingIsStoppedForWorkThatWouldNotFit() {
    assertThat(victims(run("a", "w1", 0), run("b", "elsewhere", 0))).isEmpty();
    PreemptionCandidate equal =
        new PreemptionCandidate("e", "w2", "other", 1, SIZE, 0, NEVER, true, true);
    assertThat(victims(run("a", "w1", 0), equal)).isEmpty();
  }

  @Test
  void noRunIsStoppedTwiceInTenSeconds() {
    PreemptionCandidate fresh = run("a", "w1", 0);
    assertThat(victims(fresh, run("b", "w2", 0, "other", 9_999, true))).isEmpty();
    assertThat(victims(fresh, run("b", "w2", 0, "other", 10_000, true))).isPresent();
  }

  @Test
  void onlyRunsOfTheCustomerAreStoppedWhereItsLimitBinds() {
    Room limit = new Room(4_000, 10_000, 10);
    PreemptionCandidate[] runs = {
      run("a", "w1", 0),
      run("b", "w1", 0),
      run("own1", "w1", 300, "own", NEVER, true),
      run("own2", "w2", 300, "own", NEVER, true)
    };
    assertThat(victims(plan(4_000, NEVER / 2, limit, 10_000, runs)))
        .contains(List.of("own1", "own2"));
    assertThat(plan(4_000, NEVER / 2, limit, 10_000, runs[0], runs[1], runs[2])).isEmpty();
  }

  @Test
  void capacityStoppedInOneSecondIsBounded() {
    PreemptionCandidate[] runs = {run("a", "w1", 0), run("b", "w2", 0)};
    assertThat(plan(4_000, NEVER / 2, Room.UNLIMITED, 9_999, runs)).isEmpty();
  }

  /** Guards against a step that takes, beside what is stopped for it, the reserve of others. */
  @Test
  void reserveOfUrgentWorkIsSpared() {
    Room free = new Room(5_000, 10_000, 0);
    List<WorkerRoom> workers =
        List.of(new WorkerRoom("w1", free, 9), new WorkerRoom("w2", free, 9));
    PreemptionRequest request =
        new PreemptionRequest(
            "own", 1, 2, SIZE, 4_000, workers, 0, Room.UNLIMITED, false, 500, 10_000);
    List<PreemptionCandidate> runs = List.of(run("a", "w1", 0), run("b", "w2", 0));
    assertThat(victims(new PreemptionPlanner().plan(request, runs))).contains(List.of("a", "b"));
  }
}
