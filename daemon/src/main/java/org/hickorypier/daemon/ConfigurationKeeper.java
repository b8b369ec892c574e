package org.hickorypier.daemon;

import java.util.Optional;
import java.util.TreeSet;
import org.hickorypier.core.fold.ReadinessRule;
import org.hickorypier.core.fold.SnapshotPolicy;
import org.hickorypier.daemon.LogStreams.LogStream;
import org.hickorypier.daemon.cluster.Cluster;
import org.hickorypier.daemon.cluster.DigestBoard;
import org.hickorypier.daemon.configuration.ConfigurationService;
import org.hickorypier.daemon.log.SnapshotPublisher;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.Snapshot;

/** Knows whether the configuration is whole, and keeps it in the log. For the control thread. */
final class ConfigurationKeeper {

  private final ConfigurationService configuration;
  private final LogStream<ConfigurationRecord> stream;
  private final DigestBoard digests;
  private final Cluster cluster;

  ConfigurationKeeper(
      ConfigurationService configuration,
      LogStream<ConfigurationRecord> stream,
      DigestBoard digests,
      Cluster cluster) {
    this.configuration = configuration;
    this.stream = stream;
    this.digests = digests;
    this.cluster = cluster;
  }

  /** Starts to publish snapshots. To be called before the stream is followed. */
  void start(TimerService timers) {
    SnapshotPublisher<ConfigurationRecord> snapshots =
        new SnapshotPublisher<>(
            SnapshotPolicy.DEFAULT,
            timers,
            Snapshot.class::isInstance,
            () -> obstacle().isEmpty(),
            this::turn,
            () -> configuration.publishSnapshot(cluster.own().toString()));
    stream.follower().subscribe(snapshots);
    snapshots.start();
  }

  Optional<String> obstacle() {
    return ReadinessRule.obstacle(
        configuration.current().offset(),
        stream.follower().nextOffset(),
        stream.follower().isCaughtUp(),
        digests.highestReadyOffset());
  }

  private int turn() {
    return new TreeSet<>(cluster.live()).headSet(cluster.own().name()).size();
  }
}
