package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ProcessorSpeedMonitorTest {

  private long workloadNanos = 20_000;
  private final ProcessorSpeedMonitor monitor = new ProcessorSpeedMonitor(() -> workloadNanos);

  private void addSamples(int count, long eachNanos) {
    workloadNanos = eachNanos;
    for (int index = 0; index < count; index++) {
      monitor.sample();
    }
  }

  /**
   * Guards against a slowdown that is missed or that comes to count as usual. The machine is five
   * times slower for 12 s, which is 48 samples; the monitor reports it from the fourth sample until
   * it ends.
   */
  @Test
  void slowdownIsReportedFromFourthSampleUntilItEnds() {
    addSamples(100, 20_000);
    addSamples(3, 100_000);
    assertThat(monitor.isSlowed()).isFalse();
    addSamples(1, 100_000);
    assertThat(monitor.isSlowed()).isTrue();
    addSamples(44, 100_000);
    assertThat(monitor.isSlowed()).isTrue();
    addSamples(1, 20_000);
    assertThat(monitor.isSlowed()).isFalse();
  }

  /**
   * Guards against needless handovers. The workload of an owner takes three times as long after the
   * first seconds as in them, permanently. If that counted as a slowdown, the cell would move from
   * one instance to the next while nothing is wrong.
   */
  @Test
  void permanentChangeAfterStartupIsNoSlowdown() {
    addSamples(60, 19_000);
    addSamples(6, 38_000);
    for (int index = 0; index < 60; index++) {
      addSamples(1, 57_000);
      assertThat(monitor.isSlowed()).isFalse();
    }
  }

  /**
   * Guards against needless handovers on a strong machine, whose samples of 4.9 and 15 us the clock
   * rounds to 4 and 15 us, which is a factor of 3.75 instead of 3.
   */
  @Test
  void roundingOfShortSamplesIsNoSlowdown() {
    addSamples(60, 4_000);
    addSamples(8, 15_000);
    assertThat(monitor.isSlowed()).isFalse();
    addSamples(4, 25_000);
    assertThat(monitor.isSlowed()).isTrue();
  }

  @Test
  void interruptionIsNoSlowdown() {
    addSamples(100, 20_000);
    addSamples(1, 3_000_000);
    assertThat(monitor.isSlowed()).isFalse();
  }

  /**
   * Guards against a slowdown that is reported at startup: new code is slow, whatever the machine.
   */
  @Test
  void firstSamplesReportNoSlowdown() {
    addSamples(3, 20_000);
    addSamples(12, 400_000);
    assertThat(monitor.isSlowed()).isFalse();
  }

  @Test
  void measurementIsInMicrosecondsAndAtLeastOne() {
    workloadNanos = 57_400;
    assertThat(monitor.measureMicros()).isEqualTo(57);
    workloadNanos = 3;
    assertThat(monitor.measureMicros()).isEqualTo(1);
  }
}
