package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunPaceTest {

  private static final long WINDOW_MILLIS = 200;

  @Test
  void remainingTimeIsComputedFromLatestPace() {
    RunPace pace = new RunPace(false);
    pace.addSample(0, 0, WINDOW_MILLIS);
    pace.addSample(100, 10, WINDOW_MILLIS);
    assertThat(pace.isKnown(WINDOW_MILLIS)).isFalse();
    pace.addSample(200, 20, WINDOW_MILLIS);
    assertThat(pace.isKnown(WINDOW_MILLIS)).isTrue();
    assertThat(pace.remainingMillis()).isEqualTo(800);

    for (int at = 400; at <= 1_000; at += 200) {
      pace.addSample(at, 20 + (at - 200) / 100, WINDOW_MILLIS);
    }
    assertThat(pace.remainingMillis()).isEqualTo(7_200);
  }

  @Test
  void runWithoutProgressNeverEnds() {
    RunPace pace = new RunPace(false);
    pace.addSample(0, 50, WINDOW_MILLIS);
    pace.addSample(300, 50, WINDOW_MILLIS);
    assertThat(pace.remainingMillis()).isEqualTo(RunPace.NEVER_MILLIS);
  }

  /**
   * A resumed run makes no progress while it restores its checkpoint, which says nothing about its
   * worker.
   */
  @Test
  void paceIsUnknownWhileCheckpointIsRestored() {
    RunPace pace = new RunPace(true);
    for (int at = 0; at <= 600; at += 200) {
      pace.addSample(at, 40, WINDOW_MILLIS);
      assertThat(pace.isKnown(WINDOW_MILLIS)).isFalse();
    }
    pace.addSample(700, 41, WINDOW_MILLIS);
    pace.addSample(900, 61, WINDOW_MILLIS);
    assertThat(pace.isKnown(WINDOW_MILLIS)).isTrue();
    assertThat(pace.remainingMillis()).isEqualTo(390);
  }

  @Test
  void restoreBeyondMaximumTimeCountsAsNoProgress() {
    RunPace pace = new RunPace(true);
    for (int at = 0; at <= 2_000; at += 250) {
      pace.addSample(at, 40, WINDOW_MILLIS);
    }
    assertThat(pace.isKnown(WINDOW_MILLIS)).isTrue();
    assertThat(pace.remainingMillis()).isEqualTo(RunPace.NEVER_MILLIS);
  }
}
