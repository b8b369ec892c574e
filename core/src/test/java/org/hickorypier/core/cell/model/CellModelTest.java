package org.hickorypier.core.cell.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Callers hand in work while owners are killed, doubled and cut off, workers crash, are cut off and
 * fail, and orders, answers and writes are lost or late. Whatever happens in which order: no task
 * runs twice, nothing exceeds a worker or a limit, and what was accepted comes to an end.
 */
class CellModelTest {

  /** A few seconds of work; more seeds are played by hand with {@code -Dmodel.seeds=N}. */
  private static final int SEED_COUNT = Integer.getInteger("model.seeds", 300);

  private static final int FIRST_SEED = Integer.getInteger("model.from", 0);

  @Test
  void invariantsHoldUnderSeededFaults() {
    runScenarios(ScenarioKind.UNIFORM_WORK);
  }

  /** The same beside batches that make room for urgent work, with slow workers and leaving ones. */
  @Test
  void invariantsHoldWithMixedPriorities() {
    runScenarios(ScenarioKind.MIXED_PRIORITIES);
  }

  /** Guards against a successor that waits anew for a worker that has left. */
  @Test
  void persistentTaskIsRestartedWhenItsWorkerLeavesDuringHandover() {
    runScenarios(ScenarioKind.ROLLING_UPDATE);
  }

  private static void runScenarios(ScenarioKind kind) {
    List<String> failures = new ArrayList<>();
    long starts = 0;
    long steps = 0;
    for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      ModelCluster world = new ModelCluster(seed, kind);
      for (String broken : world.run()) {
        failures.add("seed " + seed + ": " + broken);
        if (Boolean.getBoolean("model.trace")) {
          System.out.println("seed " + seed + ": " + broken);
          world.traceOf(broken.replaceAll(".*([0-9a-f]{16}).*", "$1")).forEach(System.out::println);
        }
      }
      starts += world.promises.starts();
      steps += world.time.executedEvents;
    }
    System.out.println(
        "model: "
            + SEED_COUNT
            + " days, "
            + steps
            + " steps, "
            + starts
            + " starts, "
            + failures.size()
            + " breaches");
    assertThat(failures).isEmpty();
  }
}
