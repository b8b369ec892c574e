package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plays a submission of several thousand steps beside checks of another queue. */
class ManyStepsLoadTest {

  private static final int WORKERS = 32;
  private static final int STEPS = 4_000;

  /** Dependencies of each step of a dense graph; more do not fit into the journal. */
  private static final int MAX_DEPENDENCIES = 30;

  private static final long MAX_MILLIS = 60_000;
  private static final long CHECK_INTERVAL_MILLIS = 1_000;
  private static final StepSpec CHECK = step(2, 1_000, 500, false);
  private static final QueueTerms CHECKS = queue("checks", 0);
  private static final QueueTerms BATCHES = queue("batches", 1);

  private final FakeFleet fleet = new FakeFleet(new CellFixture(1), WORKERS);

  /** How the steps of the submission depend on each other. */
  enum Shape {
    INDEPENDENT,
    ROOTS_THAT_JOIN,
    DENSE,
    CHAIN
  }

  private static QueueTerms queue(String name, int priority) {
    return new QueueTerms(name, "service", priority, 3, 2, 60_000, Optional.empty());
  }

  private static List<Integer> dependencies(Shape shape, int index) {
    return switch (shape) {
      case INDEPENDENT -> List.of();
      case ROOTS_THAT_JOIN ->
          index < STEPS - 1 ? List.of() : IntStream.range(0, index).boxed().toList();
      case DENSE ->
          IntStream.range(Math.max(0, index - 200 - MAX_DEPENDENCIES), index - 200)
              .boxed()
              .toList();
      case CHAIN -> index == 0 ? List.of() : List.of(index - 1);
    };
  }

  private static StepSpec[] steps(Shape shape) {
    StepSpec[] steps = new StepSpec[STEPS];
    for (int index = 0; index < STEPS; index++) {
      steps[index] =
          new StepSpec(
              1,
              new Resources(100, 100, 0),
              500,
              dependencies(shape, index),
              StepFlags.NONE,
              "",
              "",
              0,
              "",
              0,
              0);
    }
    return steps;
  }

  /** Guards against passes whose time grows with a power of the steps, so that nothing starts. */
  @ParameterizedTest
  @EnumSource(
      value = Shape.class,
      names = {"INDEPENDENT", "ROOTS_THAT_JOIN", "DENSE"})
  @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void checksAreServedBesideSubmissionOfThousandsOfSteps(Shape shape) {
    fleet.submit(spec("large", BATCHES, steps(shape)));
    List<String> checks = new ArrayList<>();
    long begin = fleet.owner.now;
    while (fleet.states.get("large") != SubmissionState.COMPLETED
        && fleet.owner.now < begin + MAX_MILLIS) {
      String check = "check-" + checks.size();
      fleet.submit(spec(check, CHECKS, CHECK));
      checks.add(check);
      fleet.advance(CHECK_INTERVAL_MILLIS);
    }
    fleet.advance(CHECK_INTERVAL_MILLIS);
    assertThat(fleet.states).containsEntry("large", SubmissionState.COMPLETED);
    assertThat(checks).allMatch(id -> fleet.states.get(id) == SubmissionState.COMPLETED);
  }

  /** Guards against passes whose time grows with a power of the length of a chain. */
  @Test
  @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void checksAreServedBesideLongChain() {
    fleet.reportsProgress = true;
    fleet.submit(spec("chain", BATCHES, steps(Shape.CHAIN)));
    int checks = 30;
    for (int index = 0; index < checks; index++) {
      fleet.submit(spec("check-" + index, CHECKS, CHECK));
      fleet.advance(CHECK_INTERVAL_MILLIS);
    }
    fleet.advance(CHECK_INTERVAL_MILLIS);
    assertThat(fleet.states.values().stream().filter(SubmissionState.COMPLETED::equals))
        .hasSize(checks);
    assertThat(fleet.starts.keySet().stream().filter(task -> task.submission().equals("chain")))
        .hasSizeGreaterThan(checks);
  }
}
