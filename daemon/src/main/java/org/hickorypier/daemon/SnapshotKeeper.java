package org.hickorypier.daemon;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hickorypier.core.fold.ReadinessRule;
import org.hickorypier.core.fold.SnapshotPolicy;
import org.hickorypier.daemon.LogStreams.LogStream;
import org.hickorypier.daemon.cluster.Cluster;
import org.hickorypier.daemon.cluster.PeerDigests;
import org.hickorypier.daemon.configuration.ConfigurationService;
import org.hickorypier.daemon.log.LogFollower;
import org.hickorypier.daemon.log.SnapshotPublisher;
import org.hickorypier.daemon.permit.PermitService;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.PermitRecord;

/**
 * Knows whether the folded states are whole, and keeps those of configuration and permits in the
 * log. For the control thread.
 */
final class SnapshotKeeper {

  private final ConfigurationService configuration;
  private final LogFollower<ConfigurationRecord> configurationLog;
  private final PermitService permits;
  private final LogFollower<PermitRecord> permitLog;
  private final PeerDigests digests;
  private final Cluster cluster;

  SnapshotKeeper(
      ConfigurationService configuration,
      LogStream<ConfigurationRecord> configurationStream,
      PermitService permits,
      LogStream<PermitRecord> permitStream,
      PeerDigests digests,
      Cluster cluster) {
    this.configuration = configuration;
    this.configurationLog = configurationStream.follower();
    this.permits = permits;
    this.permitLog = permitStream.follower();
    this.digests = digests;
    this.cluster = cluster;
  }

  /** Starts to publish snapshots. To be called before the streams are followed. */
  void start(TimerService timers) {
    String self = cluster.localIdentity().toString();
    publish(
        timers,
        configurationLog,
        ConfigurationRecord.Snapshot.class::isInstance,
        () -> configurationObstacle().isEmpty(),
        () -> configuration.publishSnapshot(self));
    publish(
        timers,
        permitLog,
        PermitRecord.Snapshot.class::isInstance,
        () -> permitObstacle().isEmpty(),
        () -> permits.publishSnapshot(self));
  }

  Optional<String> configurationObstacle() {
    return ReadinessRule.notReadyReason(
        configuration.current().offset(),
        configurationLog.nextOffset(),
        configurationLog.isCaughtUp(),
        digests.highestReadyOffset());
  }

  Optional<String> permitObstacle() {
    return ReadinessRule.notReadyReason(
        permits.state().offset(), permitLog.nextOffset(), permitLog.isCaughtUp(), -1);
  }

  private <T> void publish(
      TimerService timers,
      LogFollower<T> follower,
      Predicate<T> isSnapshot,
      BooleanSupplier isWhole,
      Supplier<Uni<Long>> snapshot) {
    SnapshotPublisher<T> publisher =
        new SnapshotPublisher<>(
            SnapshotPolicy.DEFAULT, timers, isSnapshot, isWhole, this::turn, snapshot);
    follower.subscribe(publisher);
    publisher.start();
  }

  private int turn() {
    return new TreeSet<>(cluster.liveInstances()).headSet(cluster.localIdentity().name()).size();
  }
}
