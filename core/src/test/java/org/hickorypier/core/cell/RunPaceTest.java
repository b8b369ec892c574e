package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunPaceTest {

  private static final long WINDOW = 200;

  @Test
  void remainingTimeFollowsTheLatestPace() {
    RunPace pace = new RunPace(false);
    pace.addSample(0, 0, WINDOW);
    pace.addSample(100, 10, WINDOW);
    assertThat(pace.isKnown(WINDOW)).isFalse();
    pace.addSample(200, 20, WINDOW);
    assertThat(pace.isKnown(WINDOW)).isTrue();
    assertThat(pace.remainingMillis()).isEqualTo(800);

    for (int at = 400; at <= 1_000; at += 200) {
      pace.addSample(at, 20 + (at - 200) / 100, WINDOW);
    }
    assertThat(pace.remainingMillis()).isEqualTo(7_200);
  }

  @Test
  void runThatStandsStillNeverEnds() {
    RunPace pace = new RunPace(false);
    pace.addSample(0, 50, WINDOW);
    pace.addSample(300, 50, WINDOW);
    assertThat(pace.remainingMillis()).isEqualTo(RunPace.NEVER_MILLIS);
  }

  /**
   * A resumed run shows no progress for as long as it restores; that says nothing of its worker.
   */
  @Test
  void paceCountsOnlyAfterRestoring() {
    RunPace pace = new RunPace(true);
    for (int at = 0; at <= 600; at += 200) {
      pace.addSample(at, 40, WINDOW);
      assertThat(pace.isKnown(WINDOW)).isFalse();
    }
    pace.addSample(700, 41, WINDOW);
    pace.addSample(900, 61, WINDOW);
    assertThat(pace.isKnown(WINDOW)).isTrue();
    assertThat(pace.remainingMillis()).isEqualTo(390);
  }

  @Test
  void restoreWithoutEndCountsAsStandstill() {
    RunPace pace = new RunPace(true);
    for (int at = 0; at <= 2_000; at += 250) {
      pace.addSample(at, 40, WINDOW);
    }
    assertThat(pace.isKnown(WINDOW)).isTrue();
    assertThat(pace.remainingMillis()).isEqualTo(RunPace.NEVER_MILLIS);
  }
}
