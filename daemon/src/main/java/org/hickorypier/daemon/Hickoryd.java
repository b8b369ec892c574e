package org.hickorypier.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.ext.web.Router;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.hickorypier.core.membership.HomeHistory;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.permits.Holder;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.core.scheduling.SchedulerFactory;
import org.hickorypier.core.scheduling.SchedulerSettings;
import org.hickorypier.daemon.LogStreams.LogStream;
import org.hickorypier.daemon.caller.CallerApi;
import org.hickorypier.daemon.caller.CallerRequestParser;
import org.hickorypier.daemon.cluster.Cluster;
import org.hickorypier.daemon.cluster.ClusterJobScope;
import org.hickorypier.daemon.cluster.ConfigurationGossip;
import org.hickorypier.daemon.cluster.FleetQueries;
import org.hickorypier.daemon.cluster.FleetWorkOperations;
import org.hickorypier.daemon.cluster.FreshnessService;
import org.hickorypier.daemon.cluster.HistoryExchange;
import org.hickorypier.daemon.cluster.HomeAdmission;
import org.hickorypier.daemon.cluster.LocalQueryRows;
import org.hickorypier.daemon.cluster.PeerDigests;
import org.hickorypier.daemon.cluster.PeerRequestDispatcher;
import org.hickorypier.daemon.cluster.PermitDemands;
import org.hickorypier.daemon.cluster.QuestionKind;
import org.hickorypier.daemon.cluster.WorkShifter;
import org.hickorypier.daemon.cluster.WorkerObservationCollector;
import org.hickorypier.daemon.configuration.ConfigurationService;
import org.hickorypier.daemon.entry.EntryService;
import org.hickorypier.daemon.entry.HomeRouting;
import org.hickorypier.daemon.entry.ReadinessCheck;
import org.hickorypier.daemon.instance.InstanceListPoller;
import org.hickorypier.daemon.job.AttemptRecorder;
import org.hickorypier.daemon.job.JobRunner;
import org.hickorypier.daemon.job.JobScope;
import org.hickorypier.daemon.job.JobService;
import org.hickorypier.daemon.job.JournalReading;
import org.hickorypier.daemon.job.JournalService;
import org.hickorypier.daemon.job.KeptAnswers;
import org.hickorypier.daemon.job.OrphanResolver;
import org.hickorypier.daemon.log.MeteredLogService;
import org.hickorypier.daemon.membership.Membership;
import org.hickorypier.daemon.metrics.WorkMetrics;
import org.hickorypier.daemon.peer.MeterPeerCounters;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerNetwork;
import org.hickorypier.daemon.peer.PeerSettings;
import org.hickorypier.daemon.permit.HolderRetirement;
import org.hickorypier.daemon.permit.PermitService;
import org.hickorypier.daemon.permit.TaskOwners;
import org.hickorypier.daemon.settings.DaemonSettings;
import org.hickorypier.daemon.settings.HostAndPort;
import org.hickorypier.daemon.time.ControlThread;
import org.hickorypier.daemon.work.DispatchSettings;
import org.hickorypier.daemon.work.Dispatcher;
import org.hickorypier.daemon.work.FirstTryTracker;
import org.hickorypier.daemon.work.TaskAdopter;
import org.hickorypier.daemon.work.WorkObserver;
import org.hickorypier.daemon.work.WorkService;
import org.hickorypier.daemon.work.WorkSettings;
import org.hickorypier.daemon.worker.MeteredWorkerService;
import org.hickorypier.daemon.worker.WorkerFleet;
import org.hickorypier.daemon.worker.WorkerLeaseSettings;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.instance.HttpInstanceList;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.platform.log.HttpLogService;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.platform.worker.HttpWorkerService;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.JournalRecord;
import org.hickorypier.wire.record.PermitRecord;

/**
 * One daemon: all its parts, wired.
 *
 * <p>Thread safe. Everything that decides runs on one control thread; the event loops carry
 * traffic.
 */
public final class Hickoryd implements Incarnation {

  private static final Logger LOGGER = System.getLogger(Hickoryd.class.getName());

  private static final Duration START_TIMEOUT = Duration.ofSeconds(10);

  private final DaemonSettings settings;
  private final String self;
  private final ControlThread control = new ControlThread();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final ConfigurationService configuration = new ConfigurationService();
  private final Vertx vertx;
  private final Scheduler scheduler;
  private final WorkService work;
  private final Dispatcher dispatcher;
  private final WorkerFleet fleet;
  private final LogStream<ConfigurationRecord> configurationStream;
  private final ReadinessCheck readiness;
  private final SnapshotKeeper keeper;
  private final Cluster cluster;
  private final PeerNetwork network;
  private final LocalQueryRows rows;
  private final FreshnessService freshness;
  private final HomeHistory history;
  private final HistoryExchange historyExchange;
  private final HomeAdmission intake;
  private final FirstTryTracker firstTries =
      new FirstTryTracker(
          DaemonConstants.ANSWER_KEEP_MILLIS, DaemonConstants.RECENT_REQUESTS_LIMIT);
  private final JournalService journal = new JournalService();
  private final LogStream<JournalRecord> journalStream;
  private final AttemptRecorder recorder;
  private final JobRunner runner;
  private final JobService jobs;
  private final TaskOwners owners;
  private final PermitService permits;
  private final LogStream<PermitRecord> permitStream;
  private final TaskAdopter adopter;
  private final WorkShifter shifter;
  private final PeerDigests digests;
  private final PeerRequestDispatcher requests;
  private final HttpFront front;

  /**
   * Wires a daemon; nothing runs until {@link #start}.
   *
   * @param settings the checked settings
   * @param incarnation the number of its run, higher than those before
   * @param onFenced is told once if this incarnation has been fenced off
   */
  public Hickoryd(DaemonSettings settings, long incarnation, Runnable onFenced) {
    this.settings = settings;
    PeerIdentity own = new PeerIdentity(settings.name(), incarnation);
    self = own.toString();
    cluster =
        new Cluster(
            own,
            new Membership(own, Duration.ofMillis(settings.peerTimeoutMillis()), control),
            control);
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(settings.eventLoops()));
    front = new HttpFront(vertx);
    SplittableRandom random = new SplittableRandom();
    LogService log =
        new MeteredLogService(new HttpLogService(vertx, address(settings.logService())), registry);
    LogStreams streams = new LogStreams(log, control, control, random);
    configurationStream =
        streams.open(
            DaemonConstants.CONFIGURATION_STREAM,
            ConfigurationRecord.class,
            ConfigurationRecord::id,
            configuration);
    configuration.connect(configurationStream.appender(), configurationStream.follower());
    journalStream =
        streams.open(
            DaemonConstants.JOURNAL_STREAM, JournalRecord.class, JournalRecord::recordId, journal);
    journal.appendTo(journalStream.appender());
    freshness =
        new FreshnessService(
            cluster,
            control,
            control,
            configurationStream.follower()::millisSinceHeard,
            () -> configuration.current().offset());
    readiness =
        new ReadinessCheck(
            this::isConfigured,
            freshness::ageMillis,
            () -> configuration.current().isDraining(settings.name()),
            settings.freshnessMillis());
    scheduler =
        SchedulerFactory.create(
            SchedulerSettings.defaults()
                .withQueueLimit(settings.queueLimit())
                .withShiftPatience(DaemonConstants.SHIFT_PATIENCE_MILLIS),
            random.nextLong());
    owners = new TaskOwners((worker, owner) -> permits().covers(worker, owner));
    rows =
        new LocalQueryRows(
            settings.name(), settings.dataCentre(), scheduler, control, owners::isOurs);
    digests = new PeerDigests(scheduler, owners::isOurs);
    work =
        new WorkService(
            new WorkSettings(
                DaemonConstants.RETRY_LIMIT,
                DaemonConstants.ANSWER_KEEP_MILLIS,
                DaemonConstants.ANSWER_KEEP_BYTES,
                DaemonConstants.RECENT_REQUESTS_LIMIT,
                DaemonConstants.TICK_MILLIS,
                DaemonConstants.LONGEST_RUN_MILLIS),
            scheduler,
            control,
            control,
            (placement, verdict) -> recorder().requestStart(placement, verdict),
            new WorkMetrics(registry).andThen(rows).andThen(new PermitSeeker()));
    fleet =
        new WorkerFleet(
            new WorkerLeaseSettings(
                settings.leaseMillis(),
                settings.renewalMillis(),
                DaemonConstants.LEASE_MARGIN_MILLIS),
            control,
            control,
            address ->
                new MeteredWorkerService(
                    new HttpWorkerService(
                        vertx, ServiceAddress.parse(address), settings.connectionsPerWorker()),
                    registry),
            cluster,
            self);
    dispatcher =
        new Dispatcher(
            new DispatchSettings(
                settings.leaseMillis(),
                DaemonConstants.SETTLE_MILLIS,
                DaemonConstants.SETTLE_DOUBLINGS,
                DaemonConstants.POLL_MILLIS),
            fleet,
            control,
            control,
            self,
            (worker, token) -> permits().mayStartOn(worker, token),
            work);
    permits =
        new PermitService(
            new Holder(own.name(), own.incarnation()),
            new PermitDemands(
                scheduler,
                digests,
                owners,
                work,
                worker -> adopter().openIfAwaitingPermission(worker)),
            control,
            control);
    permitStream =
        streams.open(
            DaemonConstants.PERMIT_STREAM, PermitRecord.class, PermitRecord::recordId, permits);
    permits.connect(permitStream.appender(), permitStream.follower());
    permits.onFenced(onFenced);
    work.beforePlacing(permits::recount);
    work.soleHomeSince(since -> history().isUninterruptedSince(since, control.nowMillis()));
    keeper =
        new SnapshotKeeper(
            configuration, configurationStream, permits, permitStream, digests, cluster);
    adopter = new TaskAdopter(scheduler, work, dispatcher, control, permits, owners, self);
    requests = new PeerRequestDispatcher(control, readiness, work);
    requests.registerQuestionHandler(
        QuestionKind.OFFER,
        worker -> {
          fleet.onOffered(worker);
          return Uni.createFrom().item(new byte[0]);
        });
    network =
        new PeerNetwork(
            vertx,
            new PeerSettings(
                own,
                settings.host(),
                settings.peerPort(),
                settings.peerSecret().reveal().getBytes(StandardCharsets.UTF_8),
                Duration.ofMillis(settings.heartbeatMillis()),
                Duration.ofMillis(settings.peerTimeoutMillis())),
            control,
            control,
            new MeterPeerCounters(registry),
            requests);
    cluster.connect(network);
    history =
        new HomeHistory(
            own.name(),
            DaemonConstants.HOME_HISTORY_MILLIS,
            settings.peerTimeoutMillis(),
            control.nowMillis());
    historyExchange =
        new HistoryExchange(
            history, cluster, requests, control, control, fleet::isListRead, this::isFirstToServe);
    intake =
        new HomeAdmission(
            cluster,
            history,
            work,
            control,
            control,
            fleet::areTasksKnown,
            DaemonConstants.ANSWER_KEEP_MILLIS,
            firstTries,
            (submission, answer) -> jobs().runOnce(submission, answer));
    recorder = new AttemptRecorder(journal, fleet, control, control, self);
    JobScope scope = new ClusterJobScope(cluster, readiness, dispatcher, requests);
    runner =
        new JobRunner(
            journal,
            recorder,
            new OrphanResolver(
                journal,
                fleet,
                control,
                control,
                settings.leaseMillis() + DaemonConstants.LEASE_MARGIN_MILLIS),
            work,
            control,
            scope);
    jobs =
        new JobService(
            journal, runner, new KeptAnswers(fleet, control), control, this::journalReading);
    requests.setAdmission(intake, runner::runForHome);
    shifter = new WorkShifter(cluster, scheduler, work, control, control, history, random.split());
    network.listen(shifter);
    network.listen(digests);
    network.listen(new ConfigurationGossip(network, configuration));
  }

  @Override
  public DaemonAddress start() throws DaemonStartException {
    Router router = Router.router(vertx);
    HomeRouting routing = new HomeRouting(cluster, intake::submit, control, control);
    EntryService entry =
        new EntryService(control, control, configuration, readiness, routing, firstTries, jobs);
    new CallerApi(
            entry,
            new CallerRequestParser(settings.deadlineDefaultMillis()),
            settings.requestBytesLimit(),
            DaemonConstants.SENDER_MILLIS)
        .mount(router);
    mountOperators(router);
    new HealthRoutes(control, readiness, registry).mount(router);
    int httpPort = front.listen(router, settings.host(), settings.httpPort());
    int peerPort = openPeerPort();
    control.execute(this::startControl);
    DaemonAddress address = new DaemonAddress(settings.name(), settings.host(), httpPort, peerPort);
    LOGGER.log(Level.INFO, "daemon: {0} listens, {1}", self, address);
    return address;
  }

  private int openPeerPort() throws DaemonStartException {
    try {
      return network.start().await().atMost(START_TIMEOUT);
    } catch (RuntimeException error) {
      front.stop(Duration.ZERO);
      control.close();
      throw new DaemonStartException(
          "cannot listen on " + settings.host() + ":" + settings.peerPort(), error);
    }
  }

  private void mountOperators(Router router) {
    OperatorDesk desk =
        new OperatorDesk(settings, control, cluster, digests, configuration, readiness);
    FleetQueries queries =
        new FleetQueries(
            cluster,
            requests,
            rows::running,
            rows::waiting,
            rows::refused,
            () -> rows.workers(fleet),
            () -> List.of(rows.instance(desk::state, configuration.current().offset(), fleet)));
    FleetWorkOperations fleetWork =
        new FleetWorkOperations(cluster, requests, journal, jobs, work, scheduler, control);
    desk.mount(router, queries, fleetWork);
  }

  private HolderRetirement retirement() {
    return new HolderRetirement(
        permits,
        control,
        control,
        holder -> cluster.isLive(holder.toString()),
        holder -> cluster.shouldControl(holder.toString()),
        answer -> WorkerObservationCollector.collect(fleet, answer));
  }

  private PermitService permits() {
    return permits;
  }

  private HomeHistory history() {
    return history;
  }

  private TaskAdopter adopter() {
    return adopter;
  }

  private AttemptRecorder recorder() {
    return recorder;
  }

  private JobService jobs() {
    return jobs;
  }

  private JournalReading journalReading() {
    if (journalStream.follower().millisOverdue() > DaemonConstants.LOG_SILENT_MILLIS) {
      return JournalReading.SILENT;
    }
    return journalStream.follower().isCaughtUp() ? JournalReading.CURRENT : JournalReading.BEHIND;
  }

  private boolean isConfigured() {
    return keeper.configurationObstacle().isEmpty();
  }

  private boolean isFirstToServe() {
    return keeper.permitObstacle().isEmpty()
        && permits.state().hasOnlyLiveHolders(holder -> cluster.isLive(holder.toString()));
  }

  private void sendDigest() {
    network.broadcast(
        digests.localDigest(
            configuration.current().offset(),
            freshness.ageMillis(),
            readiness.unreadyReason().isEmpty()));
  }

  private void startControl() {
    configuration.subscribe(cluster::onConfiguration);
    configuration.subscribe(
        state ->
            state.teams().values().forEach(team -> scheduler.putShare(team.name(), team.share())));
    configuration.subscribe(permits::onConfiguration);
    keeper.start(control);
    permitStream.follower().start(0);
    permits.start();
    retirement().start();
    configurationStream.follower().start(0);
    journalStream.follower().start(0);
    runner.start();
    shifter.start();
    control.every(Duration.ofMillis(settings.digestMillis()), this::sendDigest);
    historyExchange.start();
    cluster.start();
    freshness.start(requests);
    dispatcher.start();
    fleet.start(adopter);
    work.start(dispatcher);
    new InstanceListPoller(
            new HttpInstanceList(vertx, address(settings.instanceList())),
            control,
            control,
            this::onInstanceList)
        .start(DaemonConstants.LIST_PERIOD);
  }

  private void onInstanceList(List<ListedInstance> instances) {
    cluster.onInstanceList(instances);
    fleet.onInstanceList(instances);
  }

  /** Takes no new work, waits for requests in progress, then stops. Idempotent. */
  @Override
  public void close() {
    new GracefulShutdown(control, readiness, work, front, settings.shutdownMillis()).run();
  }

  @Override
  public void abandon() {
    control.execute(
        () -> {
          readiness.shutDown();
          cluster.shutDown();
          work.refuseQueuedWork();
        });
    new GracefulShutdown(control, readiness, work, front, DaemonConstants.ABANDON_MILLIS).run();
  }

  private static ServiceAddress address(HostAndPort from) {
    return new ServiceAddress(from.host(), from.port());
  }

  /** Asks for permits as soon as work waits for them. */
  private final class PermitSeeker implements WorkObserver {
    @Override
    public void onQueued(WorkItem item) {
      permits().planSoon(item.key().team());
    }
  }
}
