package org.hickorypier.measure.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ReleasePlanTest {

  private static final SoakSettings SETTINGS = SoakSettings.release(Path.of("target", "soak"));

  @Test
  void sameSeedGivesSamePlan() {
    assertThat(ReleasePlan.draw(7, SETTINGS)).isEqualTo(ReleasePlan.draw(7, SETTINGS));
    assertThat(ReleasePlan.draw(7, SETTINGS)).isNotEqualTo(ReleasePlan.draw(8, SETTINGS));
  }

  @Test
  void allBeginAndEndWithinTheLoad() {
    for (long seed = 0; seed < 500; seed++) {
      for (Disturbance next : ReleasePlan.draw(seed, SETTINGS)) {
        assertThat(next.atMillis()).isPositive();
        assertThat(next.lengthMillis()).isPositive();
        assertThat(next.atMillis() + next.lengthMillis())
            .isLessThanOrEqualTo(SETTINGS.loadMillis());
      }
    }
  }

  @Test
  void workersLeaveWhileInstancesRestartInEachSeed() {
    for (long seed = 0; seed < 500; seed++) {
      List<Disturbance> plan = ReleasePlan.draw(seed, SETTINGS);
      Set<Integer> restarted = new HashSet<>();
      boolean overlap = false;
      for (Disturbance restart : of(plan, DisturbanceKind.TERMINATE_INSTANCE)) {
        restarted.add(restart.target() % SETTINGS.instances());
        overlap |=
            of(plan, DisturbanceKind.RELEASE_WORKER).stream()
                .anyMatch(release -> drainsAt(release, restart.atMillis()));
      }
      assertThat(overlap).as("seed %d: %s", seed, plan).isTrue();
      assertThat(restarted).as("seed %d", seed).hasSize(SETTINGS.instances());
    }
  }

  @Test
  void someSeedsHaveNothingButPlannedWork() {
    int planned = 0;
    for (long seed = 0; seed < 500; seed++) {
      if (ReleasePlan.draw(seed, SETTINGS).stream().allMatch(next -> next.kind().planned())) {
        planned++;
      }
    }
    assertThat(planned).isBetween(250, 450);
  }

  private static List<Disturbance> of(List<Disturbance> plan, DisturbanceKind kind) {
    return plan.stream().filter(next -> next.kind() == kind).toList();
  }

  private static boolean drainsAt(Disturbance release, long millis) {
    return release.atMillis() <= millis && millis <= release.atMillis() + release.lengthMillis();
  }
}
