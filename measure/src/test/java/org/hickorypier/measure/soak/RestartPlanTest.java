package org.hickorypier.measure.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RestartPlanTest {

  private static final SoakSettings SETTINGS = SoakSettings.restarting(Path.of("target", "soak"));

  @Test
  void sameSeedGivesSamePlan() {
    assertThat(RestartPlan.draw(7, SETTINGS)).isEqualTo(RestartPlan.draw(7, SETTINGS));
    assertThat(RestartPlan.draw(7, SETTINGS)).isNotEqualTo(RestartPlan.draw(8, SETTINGS));
  }

  @Test
  void allBeginAndEndWithinTheLoad() {
    for (long seed = 0; seed < 500; seed++) {
      for (Disturbance next : RestartPlan.draw(seed, SETTINGS)) {
        assertThat(next.atMillis()).isPositive();
        assertThat(next.lengthMillis()).isPositive();
        assertThat(next.atMillis() + next.lengthMillis())
            .isLessThanOrEqualTo(SETTINGS.loadMillis());
      }
    }
  }

  @Test
  void workersOfEachDataCentreAreCutOffSoonAfterTheyAreBack() {
    for (long seed = 0; seed < 500; seed++) {
      List<Disturbance> plan = RestartPlan.draw(seed, SETTINGS);
      List<Disturbance> cuts = of(plan, DisturbanceKind.CUT_DATA_CENTRE);
      Set<Integer> struck = new HashSet<>();
      for (Disturbance restart : of(plan, DisturbanceKind.RESTART_DATA_CENTRE)) {
        assertThat(restart.lengthMillis()).isBetween(200L, 900L);
        struck.add(restart.target() % 3);
        assertThat(cuts)
            .as("seed %d: %s", seed, plan)
            .filteredOn(cut -> cut.target() == restart.target())
            .singleElement()
            .satisfies(cut -> assertThat(cut.lengthMillis()).isBetween(3_000L, 10_000L))
            .satisfies(
                cut ->
                    assertThat(cut.atMillis() - restart.atMillis() - restart.lengthMillis())
                        .isBetween(50L, 3_000L));
      }
      assertThat(struck).as("seed %d", seed).containsExactlyInAnyOrder(0, 1, 2);
    }
  }

  @Test
  void ownerIsKilledOrPausedBetweenRestartAndCutInSomeSeeds() {
    int killed = 0;
    int paused = 0;
    for (long seed = 0; seed < 500; seed++) {
      List<Disturbance> plan = RestartPlan.draw(seed, SETTINGS);
      List<Disturbance> kills = of(plan, DisturbanceKind.KILL_OWNER);
      List<Disturbance> pauses = of(plan, DisturbanceKind.PAUSE_OWNER);
      assertThat(kills).allMatch(loss -> isBetweenRestartAndCut(plan, loss.atMillis()));
      assertThat(pauses).allMatch(loss -> isBetweenRestartAndCut(plan, loss.atMillis()));
      killed += kills.size();
      paused += pauses.size();
    }
    assertThat(killed).isBetween(250, 500);
    assertThat(paused).isBetween(250, 500);
  }

  @Test
  void someSeedsHaveOtherDisturbances() {
    int mixed = 0;
    for (long seed = 0; seed < 500; seed++) {
      if (RestartPlan.draw(seed, SETTINGS).stream()
          .anyMatch(next -> DisturbanceKind.USUAL.contains(next.kind()))) {
        mixed++;
      }
    }
    assertThat(mixed).isBetween(200, 300);
  }

  private static boolean isBetweenRestartAndCut(List<Disturbance> plan, long millis) {
    return of(plan, DisturbanceKind.RESTART_DATA_CENTRE).stream()
        .anyMatch(
            restart ->
                restart.atMillis() + restart.lengthMillis() <= millis
                    && of(plan, DisturbanceKind.CUT_DATA_CENTRE).stream()
                        .anyMatch(
                            cut -> cut.target() == restart.target() && millis < cut.atMillis()));
  }

  private static List<Disturbance> of(List<Disturbance> plan, DisturbanceKind kind) {
    return plan.stream().filter(next -> next.kind() == kind).toList();
  }
}
