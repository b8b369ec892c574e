package org.hickorypier.daemon;

import io.vertx.ext.web.Router;
import java.security.SecureRandom;
import java.util.List;
import org.hickorypier.core.keys.KeyIssuer;
import org.hickorypier.daemon.cluster.Cluster;
import org.hickorypier.daemon.cluster.FleetWorkOperations;
import org.hickorypier.daemon.cluster.PeerDigests;
import org.hickorypier.daemon.configuration.ConfigurationService;
import org.hickorypier.daemon.entry.ReadinessCheck;
import org.hickorypier.daemon.operator.ConfiguredOperators;
import org.hickorypier.daemon.operator.FleetView;
import org.hickorypier.daemon.operator.OperatorApi;
import org.hickorypier.daemon.operator.StatementExecutor;
import org.hickorypier.daemon.settings.DaemonSettings;
import org.hickorypier.daemon.time.ControlThread;

/** Puts the operators' interface together. Thread safe. */
final class OperatorDesk {

  private final DaemonSettings settings;
  private final ControlThread control;
  private final Cluster cluster;
  private final PeerDigests digests;
  private final ConfigurationService configuration;
  private final ReadinessCheck readiness;

  OperatorDesk(
      DaemonSettings settings,
      ControlThread control,
      Cluster cluster,
      PeerDigests digests,
      ConfigurationService configuration,
      ReadinessCheck readiness) {
    this.settings = settings;
    this.control = control;
    this.cluster = cluster;
    this.digests = digests;
    this.configuration = configuration;
    this.readiness = readiness;
  }

  void mount(Router router, FleetView queries, FleetWorkOperations work) {
    StatementExecutor executor =
        new StatementExecutor(
            configuration::current,
            queries,
            work,
            work,
            configuration,
            this::behind,
            new KeyIssuer(new SecureRandom()),
            control);
    new OperatorApi(
            executor,
            new ConfiguredOperators(configuration::current, settings.operatorKey()),
            readiness::configurationUnreadyReason,
            control,
            DaemonConstants.SENDER_MILLIS)
        .mount(router);
  }

  /** Returns one word on this instance, for the operators. */
  String state() {
    if (configuration.current().isDraining(settings.name())) {
      return "draining";
    }
    return readiness.unreadyReason().isEmpty() ? "ready" : "not ready";
  }

  private List<String> behind(long offset) {
    return digests.instancesBehind(cluster.liveOtherInstances(), offset);
  }
}
