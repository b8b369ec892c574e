package org.hickorypier.daemon.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.daemon.time.DelayMonitor;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.platform.http.TrafficCounter;
import org.junit.jupiter.api.Test;

class ProcessorReporterTest {

  private static final double PROCESSORS = 0.12;
  private static final long AVAILABLE_MILLIS = 120;

  private final ManualTimerService timers = new ManualTimerService();
  private final TrafficCounter counter = new TrafficCounter();
  private final List<List<Object>> lines = new ArrayList<>();
  private long processorMillis;
  private final ProcessorReporter reporter =
      new ProcessorReporter(
          counter,
          (part, event, fields) -> lines.add(List.of(fields)),
          timers,
          new DelayMonitor(timers),
          () -> processorMillis,
          PROCESSORS);

  private void runForOnePeriod() {
    timers.advance(ProcessorReporter.PERIOD);
  }

  @Test
  void machineWithTimeToSpareIsNotReported() {
    reporter.start();
    processorMillis += AVAILABLE_MILLIS / 2;
    runForOnePeriod();
    assertThat(lines).isEmpty();
  }

  /** Guards against an owner behind its processor whose log tells neither that nor the reason. */
  @Test
  void usedUpProcessorIsReportedWithWhatWasHandled() {
    reporter.start();
    counter.record("hold", 300, 300);
    counter.record("hold", 300, 300);
    counter.record("log-append", 9_000, 40);
    processorMillis += AVAILABLE_MILLIS;
    runForOnePeriod();
    assertThat(lines).hasSize(1);
    assertThat(lines.get(0)).contains(AVAILABLE_MILLIS).endsWith("hold=2 log-append=1");
  }

  @Test
  void lateControlThreadIsReportedOnce() {
    reporter.start();
    timers.advance(Duration.ofMillis(200));
    timers.delayNext(Duration.ofMillis(700));
    runForOnePeriod();
    assertThat(lines).hasSize(1);
    assertThat(lines.get(0)).containsSequence("late_ms", 650L);
    runForOnePeriod();
    assertThat(lines).hasSize(1);
  }
}
