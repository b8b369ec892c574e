package org.hickorypier.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.ConfigurationFold;
import org.hickorypier.core.configuration.ConfigurationSnapshots;
import org.hickorypier.core.fold.FoldResult;
import org.hickorypier.core.fold.ReadinessRule;
import org.hickorypier.core.fold.SnapshotPolicy;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.daemon.log.FakeLogService.AppendFault;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.Snapshot;
import org.junit.jupiter.api.Test;

class SnapshotPublisherTest {

  private static final Duration INTERVAL =
      Duration.ofMillis(SnapshotPolicy.DEFAULT.intervalMillis());

  private final LogTestBench bench = new LogTestBench();
  private final List<Instance> instances = new ArrayList<>();

  /** An instance's fold and publisher on the bench's log. */
  private final class Instance implements LogConsumer<ConfigurationRecord> {

    private final LogTestBench.Stream stream = bench.open();
    private final int number = instances.size();
    private Configuration state = Configuration.EMPTY;

    Instance() {
      stream.follower().subscribe(this);
      SnapshotPublisher<ConfigurationRecord> publisher =
          new SnapshotPublisher<>(
              SnapshotPolicy.DEFAULT,
              bench.timers,
              Snapshot.class::isInstance,
              this::isWhole,
              () -> number,
              () ->
                  stream
                      .appender()
                      .append(
                          ConfigurationSnapshots.toSnapshot(
                              "s" + number + "-" + state.offset(), state)));
      stream.follower().subscribe(publisher);
      stream.follower().subscribe(stream.appender());
      publisher.start();
      stream.follower().start(0);
      instances.add(this);
    }

    boolean isWhole() {
      return ReadinessRule.notReadyReason(
              state.offset(), stream.follower().nextOffset(), stream.follower().isCaughtUp(), -1)
          .isEmpty();
    }

    void stop() {
      stream.follower().stop();
      stream.appender().close();
    }

    @Override
    public void onRecord(long offset, ConfigurationRecord change) {
      FoldResult<Configuration> result = ConfigurationFold.apply(state, offset, change);
      state = result.state();
      if (change instanceof Snapshot && result.verdict() == Verdict.APPLIED) {
        stream.follower().seek(state.offset() + 1);
      }
    }

    @Override
    public void onUnreadable(long offset, byte[] data, UndecodableException reason) {
      state = ConfigurationFold.skipUnreadable(state, offset).state();
    }
  }

  // The configuration was written once, long ago; the log keeps records for a while only. Then all
  // instances are replaced. The new ones must know the drain still: they start from the snapshot.
  // Without it they would be ready with an empty configuration, or never.
  @Test
  void configurationOutlivesItsRecordsAndAllInstances() {
    final Instance first = new Instance();
    final Instance second = new Instance();
    bench.put("drain");
    bench.timers.advance(INTERVAL.plusMinutes(1));
    assertThat(bench.log.size(LogTestBench.STREAM)).isEqualTo(2);
    bench.put("later");
    bench.log.expireBefore(LogTestBench.STREAM, 1);
    first.stop();
    second.stop();

    Instance replaced = new Instance();
    bench.timers.advance(Duration.ofSeconds(10));

    assertThat(replaced.isWhole()).isTrue();
    assertThat(replaced.state.isDraining("worker-1")).isTrue();
    assertThat(replaced.state).isEqualTo(first.state);
  }

  // The records have expired and no snapshot is there. The new instance must not take part with a
  // configuration that lacks them, and must not publish it as a snapshot for all others either.
  @Test
  void stateThatIsNotWholeIsNeitherUsedNorPublished() {
    bench.put("a");
    bench.put("b");
    bench.log.expireBefore(LogTestBench.STREAM, 1);

    Instance instance = new Instance();
    bench.timers.advance(INTERVAL.multipliedBy(3));

    assertThat(instance.isWhole()).isFalse();
    assertThat(bench.log.size(LogTestBench.STREAM)).isEqualTo(2);
  }

  // The first instance is dead, or its append is refused for long. The second steps in.
  @Test
  void nextInstanceStepsIn() {
    final Instance first = new Instance();
    new Instance();
    bench.put("a");
    first.stop();
    bench.log.failNextAppend(AppendFault.REFUSED);

    bench.timers.advance(INTERVAL.plusMinutes(2));

    assertThat(bench.log.size(LogTestBench.STREAM)).isEqualTo(2);
  }
}
