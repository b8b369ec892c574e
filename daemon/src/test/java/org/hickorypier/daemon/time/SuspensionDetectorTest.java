package org.hickorypier.daemon.time;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {

  private long monotonicMillis = 1_000;
  private long wallMillis = 50_000;
  private final SuspensionDetector detector =
      new SuspensionDetector(() -> monotonicMillis, () -> wallMillis);

  /**
   * Guards against a proof that looks recent after a suspension. The process is suspended for 9 s
   * while its monotonic clock stands still, and a key may have been withdrawn meanwhile.
   */
  @Test
  void proofFromBeforeSuspensionIsInvalid() {
    monotonicMillis += 10;
    wallMillis += 10;
    assertThat(detector.isUninterruptedSince(1_005)).isTrue();
    wallMillis += 9_000;
    assertThat(detector.isUninterruptedSince(1_005)).isFalse();
    monotonicMillis += 20;
    wallMillis += 20;
    assertThat(detector.isUninterruptedSince(1_005)).isFalse();
    assertThat(detector.isUninterruptedSince(1_020)).isTrue();
  }

  @Test
  void wallClockStepInvalidatesProofsOnce() {
    wallMillis -= 2_400;
    assertThat(detector.isUninterruptedSince(1_000)).isFalse();
    monotonicMillis += 5;
    wallMillis += 5;
    assertThat(detector.isUninterruptedSince(1_003)).isTrue();
  }
}
