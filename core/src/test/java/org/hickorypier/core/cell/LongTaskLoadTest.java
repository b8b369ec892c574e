package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.spec;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays tasks on 48 workers of the same speed while the owner changes five times. A third of the
 * tasks take twelve times as long as expected, so that most runs at a time are long ones.
 */
class LongTaskLoadTest {

  private static final int WORKERS = 48;
  private static final long EXPECTED_MILLIS = 1_100;
  private static final long LONG_MILLIS = 12 * EXPECTED_MILLIS;
  private static final long OWNER_CHANGE_INTERVAL_MILLIS = 8_000;
  private static final int OWNER_CHANGES = 5;
  private static final long LOAD_MILLIS = 48_000;
  private static final long SUBMISSION_INTERVAL_MILLIS = 50;
  private static final long REST_MILLIS = 40_000;
  private static final int MAX_MOVES_OF_TASK = 2;

  /** Aim for the work thrown away by moves, as a share of the work done. */
  private static final double MAX_STOPPED_SHARE = 0.03;

  private static final QueueTerms QUEUE =
      new QueueTerms("queue", "service", 0, 3, 2, 1_000, Optional.empty());
  private static final StepSpec STEP =
      new StepSpec(
          3,
          new Resources(2_000, 1_000, 0),
          EXPECTED_MILLIS,
          List.of(),
          StepFlags.NONE,
          "",
          "",
          0,
          "",
          0,
          0);

  private final FakeFleet fleet = new FakeFleet(new CellFixture(1), WORKERS);
  private final List<CellFixture> owners = new ArrayList<>(List.of(fleet.owner));
  private final List<String> submissions = new ArrayList<>();

  private void play(long seed) {
    fleet.reportsProgress = true;
    fleet.workMillisOf = task -> isLong(task, seed) ? LONG_MILLIS : EXPECTED_MILLIS;
    for (long at = 0; at < LOAD_MILLIS; at += FakeFleet.TICK_MILLIS) {
      if (at % SUBMISSION_INTERVAL_MILLIS == 0) {
        submissions.add("s" + at);
        fleet.submit(spec("s" + at, QUEUE, STEP));
      }
      if (at > 0 && at % OWNER_CHANGE_INTERVAL_MILLIS == 0 && owners.size() <= OWNER_CHANGES) {
        fleet.takeOver(fleet.owner.successorFromStore(owners.size() + 1));
        owners.add(fleet.owner);
      }
      fleet.advance(FakeFleet.TICK_MILLIS);
    }
    fleet.advance(REST_MILLIS);
  }

  private static boolean isLong(TaskName task, long seed) {
    long key = 31 * task.submission().hashCode() + task.index();
    return new Random(key * 1_000_003 + seed).nextInt(3) == 0;
  }

  /** Returns how often each task was moved, over all owners. */
  private Map<String, Integer> moves() {
    Map<String, Integer> moves = new HashMap<>();
    for (CellFixture owner : owners) {
      for (String event : owner.events) {
        if (event.contains(" run-too-slow ")) {
          // The fields begin with the names and values of the submission and its task.
          String task = event.substring(event.indexOf('['), event.indexOf(", run,"));
          moves.merge(task, 1, Integer::sum);
        }
      }
    }
    return moves;
  }

  /** Guards against tasks that each new owner stops as too slow again. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void taskIsMovedAtMostTwiceAndLittleWorkIsLostUnderSeveralOwners(long seed) {
    play(seed);
    System.out.printf(
        "long tasks: %d tasks moved, %.2f%% of the work thrown away%n",
        moves().size(), 100.0 * fleet.stoppedMillis / fleet.doneMillis);
    assertThat(owners).hasSize(OWNER_CHANGES + 1);
    assertThat(submissions)
        .allSatisfy(id -> assertThat(fleet.states.get(id)).isEqualTo(SubmissionState.COMPLETED));
    assertThat(moves().values())
        .allSatisfy(each -> assertThat(each).isLessThanOrEqualTo(MAX_MOVES_OF_TASK));
    assertThat(fleet.stoppedMillis / (double) fleet.doneMillis).isLessThan(MAX_STOPPED_SHARE);
  }
}
