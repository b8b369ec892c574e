package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ProcessorSpeedMonitorTest {

  private long nanos = 20_000;
  private final ProcessorSpeedMonitor pace = new ProcessorSpeedMonitor(() -> nanos);

  private void samples(int count, long each) {
    nanos = each;
    for (int index = 0; index < count; index++) {
      pace.sample();
    }
  }

  /**
   * A machine turns five times slower for 12 s. It says so after four samples, for as long as that
   * lasts, and no longer: a spell of 48 samples does not become what is usual.
   */
  @Test
  void slowSpellIsToldFromItsFourthSampleToItsEnd() {
    samples(100, 20_000);
    samples(3, 100_000);
    assertThat(pace.isSlowed()).isFalse();
    samples(1, 100_000);
    assertThat(pace.isSlowed()).isTrue();
    samples(44, 100_000);
    assertThat(pace.isSlowed()).isTrue();
    samples(1, 20_000);
    assertThat(pace.isSlowed()).isFalse();
  }

  /**
   * An owner's work takes three times as long after its first seconds as in them, for good. It used
   * to take itself for slowed, and the cell went from one instance to the next in calm times.
   */
  @Test
  void changeThatEveryProcessGoesThroughIsNoSlowness() {
    samples(60, 19_000);
    samples(6, 38_000);
    for (int index = 0; index < 60; index++) {
      samples(1, 57_000);
      assertThat(pace.isSlowed()).isFalse();
    }
  }

  @Test
  void interruptionIsNoSlowness() {
    samples(100, 20_000);
    samples(1, 3_000_000);
    assertThat(pace.isSlowed()).isFalse();
  }

  /** A process is slow while its code is new; that says nothing of its machine. */
  @Test
  void nothingIsToldOfTheFirstSamples() {
    samples(3, 20_000);
    samples(12, 400_000);
    assertThat(pace.isSlowed()).isFalse();
  }

  @Test
  void measureIsInMicrosecondsAndNeverNothing() {
    nanos = 57_400;
    assertThat(pace.measureMicros()).isEqualTo(57);
    nanos = 3;
    assertThat(pace.measureMicros()).isEqualTo(1);
  }
}
