package org.hickorypier.daemon.time;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {

  private long steady = 1_000;
  private long wall = 50_000;
  private final SuspensionDetector guard = new SuspensionDetector(() -> steady, () -> wall);

  /**
   * The process is suspended for 9 s: its steady clock stands still. What it learnt just before
   * looks fresh, but a key may have been withdrawn since.
   */
  @Test
  void proofFromBeforeSuspensionIsVoid() {
    steady += 10;
    wall += 10;
    assertThat(guard.isUninterruptedSince(1_005)).isTrue();
    wall += 9_000;
    assertThat(guard.isUninterruptedSince(1_005)).isFalse();
    steady += 20;
    wall += 20;
    assertThat(guard.isUninterruptedSince(1_005)).isFalse();
    assertThat(guard.isUninterruptedSince(1_020)).isTrue();
  }

  @Test
  void stepOfTheTimeOfDayVoidsProofsOnce() {
    wall -= 2_400;
    assertThat(guard.isUninterruptedSince(1_000)).isFalse();
    steady += 5;
    wall += 5;
    assertThat(guard.isUninterruptedSince(1_003)).isTrue();
  }
}
