package org.hickorypier.measure.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DisturbancePlanTest {

  private static final long SPAN = 15_000;

  @Test
  void sameSeedGivesSamePlan() {
    assertThat(DisturbancePlan.draw(7, 9, SPAN)).isEqualTo(DisturbancePlan.draw(7, 9, SPAN));
    assertThat(DisturbancePlan.draw(7, 9, SPAN)).isNotEqualTo(DisturbancePlan.draw(8, 9, SPAN));
  }

  @Test
  void allBeginAndEndWithinTheSpan() {
    for (long seed = 0; seed < 500; seed++) {
      List<Disturbance> plan = DisturbancePlan.draw(seed, 9, SPAN);
      assertThat(plan.size()).isBetween(9, 10);
      for (Disturbance next : plan) {
        assertThat(next.atMillis()).isPositive();
        assertThat(next.lengthMillis()).isPositive();
        assertThat(next.atMillis() + next.lengthMillis()).isLessThanOrEqualTo(SPAN);
      }
    }
  }

  @Test
  void capacitiesShrinkAndGrowWithinTheSpan() {
    for (long seed = 0; seed < 500; seed++) {
      assertThat(DisturbancePlan.drawShrinking(seed, SPAN))
          .isNotEmpty()
          .allSatisfy(next -> assertThat(next.atMillis()).isPositive())
          .allSatisfy(next -> assertThat(next.lengthMillis()).isPositive())
          .allSatisfy(
              next -> assertThat(next.atMillis() + next.lengthMillis()).isLessThanOrEqualTo(SPAN));
    }
  }

  @Test
  void eachKindComesUpInFiftySeeds() {
    Set<DisturbanceKind> seen = new HashSet<>();
    for (long seed = 1; seed <= 50; seed++) {
      DisturbancePlan.draw(seed, 9, SPAN).forEach(next -> seen.add(next.kind()));
    }
    assertThat(seen).containsExactlyInAnyOrderElementsOf(DisturbanceKind.USUAL);
    seen.add(DisturbanceKind.RELEASE_WORKER);
    DisturbancePlan.drawShrinking(1, SPAN).forEach(next -> seen.add(next.kind()));
    SoakSettings restarting = SoakSettings.restarting(Path.of("target", "soak"));
    for (long seed = 1; seed <= 50; seed++) {
      RestartPlan.draw(seed, restarting).forEach(next -> seen.add(next.kind()));
    }
    assertThat(seen).containsExactlyInAnyOrder(DisturbanceKind.values());
  }
}
