package org.hickorypier.daemon.node;

import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.net.NetClientOptions;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.EvacuationReading;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.InFlightWindow;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.daemon.front.DrainReport;
import org.hickorypier.daemon.front.FrontServer;
import org.hickorypier.daemon.front.IntakeReport;
import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.link.LinkRequestHandler;
import org.hickorypier.daemon.owner.Candidate;
import org.hickorypier.daemon.owner.ConfigurationWatcher;
import org.hickorypier.daemon.owner.OrderRelay;
import org.hickorypier.daemon.owner.OwnerDependencies;
import org.hickorypier.daemon.owner.OwnerDirectory;
import org.hickorypier.daemon.owner.OwnerGateway;
import org.hickorypier.daemon.owner.OwnerRecord;
import org.hickorypier.daemon.owner.Ownership;
import org.hickorypier.daemon.owner.ProcessorSpeedMonitor;
import org.hickorypier.daemon.owner.RelayRegistration;
import org.hickorypier.daemon.time.DelayMonitor;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.daemon.time.VertxTimerService;
import org.hickorypier.platform.advice.AdviceClient;
import org.hickorypier.platform.execution.WorkerClient;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.TrafficCounter;
import org.hickorypier.platform.store.StoreClient;

/**
 * One instance of the scheduler: creates all parts and connects them on two threads, one for
 * control state and one for callers' traffic.
 *
 * <p>Confined to the control thread, except for the methods that are documented to be callable from
 * any thread.
 */
public final class Node extends VerticleBase {

  private static final String PART = "node";

  /** Part of the heap that start orders in transit may take. */
  private static final int ORDER_PART = 8;

  /** Part of the heap that submissions may take, which a takeover and all else must fit beside. */
  private static final int SUBMISSION_PART = 2;

  /** Connections to one worker: one waiting lease renewal, and the orders of a gang beside it. */
  private static final int WORKER_CONNECTIONS = 5;

  /**
   * Connections to the store: long-polling reads, one append, one heartbeat to the group, one list
   * of workers, and some spare ones.
   */
  private static final int STORE_CONNECTIONS = 8;

  /** The advisor serves one call at a time for each instance and queues further connections. */
  private static final int ADVICE_CONNECTIONS = 16;

  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /**
   * A sample takes about 20 us; four slow samples in a row show that the machine has become slow.
   */
  private static final Duration SPEED_SAMPLE_PERIOD = Duration.ofMillis(250);

  /** Heartbeats that may be late on a weak machine, right after it has taken the cell over. */
  private static final int HEARTBEAT_BURSTS = 6;

  private static final double BYTES_PER_MEGABIT = 125_000;

  /** Longer than a takeover takes. */
  private static final long EXPLAIN_TIMEOUT_MILLIS = 2_000;

  /**
   * Time without a known owner after which this instance reports that it is not ready, so that
   * other instances serve the callers. A usual takeover is shorter, and the balancer needs a second
   * to add an instance again that it has taken out of rotation.
   */
  private static final long MAX_OWNERLESS_MILLIS = 3_000;

  private final NodeSettings settings;
  private final EventLog log;
  private final LongSupplier wallClock;
  private final ProcessorSpeedMonitor speedMonitor;
  private final TrafficCounter traffic = new TrafficCounter();
  private ConfigurationWatcher configurationWatcher;
  private OwnerDirectory directory;
  private Ownership ownership;
  private OwnerGateway gateway;
  private volatile FrontServer frontServer;
  private volatile boolean shutdownRequested;
  private volatile long shutdownDeadlineNanos;
  private boolean draining;
  private final Promise<Void> drainPromise = Promise.promise();
  private Handover handover;
  private AdviceClient advisorClient;
  private VertxTimerService timers;

  /**
   * Creates the instance.
   *
   * @param settings its settings
   * @param log receives its events
   * @param wallClock supplies the time of day, in milliseconds since 1970
   */
  public Node(NodeSettings settings, EventLog log, LongSupplier wallClock) {
    this(settings, log, wallClock, new ProcessorSpeedMonitor(ProcessorSpeedMonitor::runWorkload));
  }

  Node(
      NodeSettings settings,
      EventLog log,
      LongSupplier wallClock,
      ProcessorSpeedMonitor speedMonitor) {
    this.settings = settings;
    this.log = log;
    this.wallClock = wallClock;
    this.speedMonitor = speedMonitor;
  }

  @Override
  public Future<?> start() {
    if (shutdownRequested) {
      return Future.failedFuture("the instance was shut down before it started");
    }
    timers = new VertxTimerService(vertx, context);
    SuspensionDetector suspensionDetector = new SuspensionDetector(timers::nowMillis, wallClock);
    StoreClient store =
        new StoreClient(new PooledHttpClient(vertx, STORE_CONNECTIONS, traffic), settings.store());
    advisorClient =
        settings.advisor() == null
            ? null
            : new AdviceClient(
                new PooledHttpClient(vertx, ADVICE_CONNECTIONS, traffic), settings.advisor());
    DelayMonitor delayMonitor = new DelayMonitor(timers);
    OwnerDependencies dependencies =
        new OwnerDependencies(
            store,
            new WorkerClient(new PooledHttpClient(vertx, WORKER_CONNECTIONS, traffic)),
            timers,
            wallClock,
            suspensionDetector,
            delayMonitor,
            log,
            settings.cellTimings(),
            settings.workerHeartbeatMillis(),
            settings.linkMegabits() * BYTES_PER_MEGABIT,
            settings.processors(),
            Runtime.getRuntime().maxMemory() / ORDER_PART,
            Runtime.getRuntime().maxMemory() / SUBMISSION_PART);
    String peerAddress = "" + settings.advertisedPeer();
    directory = new OwnerDirectory(store, timers, log, this::handleOwnerChange);
    Candidate self = new Candidate(peerAddress, settings.strength());
    ownership =
        new Ownership(
            dependencies,
            settings.name() + "@" + peerAddress,
            self,
            settings.groupLifetimeMillis() + HEARTBEAT_BURSTS * dependencies.burstDelayMillis(),
            directory);
    ownership.addAdvisorClient(settings.address(), (request, timeout) -> advise(request));
    configurationWatcher =
        new ConfigurationWatcher(
            store,
            timers,
            suspensionDetector,
            log,
            settings.revokeMillis(),
            new OperatorRequests());
    handover = new Handover(ownership, speedMonitor, timers, log);
    gateway =
        new OwnerGateway(
            vertx.createNetClient(
                new NetClientOptions()
                    .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                    .setTcpNoDelay(true)),
            timers,
            log,
            directory,
            ownership,
            this::answerPeer,
            new OrderRelay(
                dependencies.workers(),
                suspensionDetector,
                log,
                () -> directory.owner().epoch(),
                dependencies.burstDelayMillis()),
            self,
            speedMonitor,
            dependencies.burstDelayMillis(),
            traffic,
            new InFlightWindow(dependencies.linkBytesPerSecond()));
    ownership.onGained(
        () -> {
          gateway.ownershipGained();
          handover.ownershipGained();
        });
    timers.every(SPEED_SAMPLE_PERIOD, speedMonitor::sample);
    TrafficReporter trafficReporter =
        new TrafficReporter(
            traffic, log, timers::nowMillis, settings.linkMegabits() * BYTES_PER_MEGABIT);
    timers.every(TrafficReporter.PERIOD, trafficReporter::reportIfBusy);
    new ProcessorReporter(
            traffic, log, timers, delayMonitor, Node::processorMillis, settings.processors())
        .start();
    configurationWatcher.start();
    configurationWatcher.askWhileStoreUnavailable(gateway::askForConfiguration);
    directory.start();
    // A caller whose connection is refused uses up one of its few attempts, so the front starts
    // first.
    Future<?> frontStarted = startTraffic(context);
    return frontStarted.compose(listening -> listenForPeers());
  }

  private Future<?> listenForPeers() {
    return vertx
        .createNetServer()
        .connectHandler(
            socket -> {
              PeerHandler handler = new PeerHandler();
              Link link = new Link(socket, handler, timers, traffic);
              String address = socket.remoteAddress().hostAddress();
              handler.peer = handover.addPeer(link, address);
              Runnable removeAdvisorClient = ownership.addAdvisorClient(address, link::sendRequest);
              handler.relayRegistration = ownership.relayRegistration(address, link::sendRequest);
              link.onClose(
                  () -> {
                    handover.removePeer(handler.peer);
                    removeAdvisorClient.run();
                    handler.relayRegistration.cancel();
                  });
            })
        .listen(settings.peerPort(), settings.address())
        .onSuccess(
            listening -> {
              ownership.start(
                  gateway::checkOwnerAlive,
                  gateway::hasOwnerBeenProvenSince,
                  gateway::silentMillis);
            });
  }

  private static long processorMillis() {
    return TimeUnit.NANOSECONDS.toMillis(
        ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime());
  }

  private Future<?> startTraffic(Context control) {
    return vertx.deployVerticle(
        new VerticleBase() {
          @Override
          public Future<?> start() {
            FrontServer server =
                new FrontServer(
                    vertx,
                    control,
                    configurationWatcher,
                    gateway::ask,
                    Node.this::isReady,
                    wallClock,
                    settings.intake(),
                    log);
            frontServer = server;
            drainIfStopping();
            return server.listen(settings.front(), settings.ready());
          }
        });
  }

  private boolean isReady() {
    return !shutdownRequested
        && configurationWatcher.current() != null
        && configurationWatcher.isFresh()
        && gateway.ownerlessMillis() < MAX_OWNERLESS_MILLIS;
  }

  /** Applies what the operator has written to the store. */
  private final class OperatorRequests implements ConfigurationWatcher.Listener {

    @Override
    public void configurationChanged(ClusterConfiguration newConfiguration) {
      ownership.configure(newConfiguration.customers());
    }

    @Override
    public void evacuationsRead(EvacuationReading reading) {
      ownership.evacuationsRead(reading);
    }
  }

  private void handleOwnerChange(OwnerRecord owner) {
    ownership.observeOwner(owner);
    handover.announceOwner(owner);
    gateway.ownerChanged();
  }

  /** Answers the requests of one instance that has opened a link to this one. */
  private final class PeerHandler implements LinkRequestHandler {

    private Peer peer;
    private RelayRegistration relayRegistration;

    @Override
    public Future<LinkReply> answer(LinkRequest request) {
      if (request instanceof LinkRequest.Introduce introduce) {
        peer.recordIntroduction(introduce, timers.nowMillis());
        if (peer.supportsRelays()) {
          relayRegistration.register();
        }
        return Future.succeededFuture(new LinkReply.Number(LinkRequest.VERSION));
      }
      if (request instanceof LinkRequest.Submit submit && ownership.isOwner()) {
        relayRegistration.recordText(submit.spec().id());
      }
      return answerPeer(request);
    }
  }

  private Future<LinkReply> answerPeer(LinkRequest request) {
    if (request instanceof LinkRequest.Advise advise) {
      return advise(advise);
    }
    if (request instanceof LinkRequest.ProveOwnership) {
      return Future.succeededFuture(
          ownership.isProvenOwner() ? new LinkReply.Noted() : new LinkReply.NotOwner());
    }
    if (request instanceof LinkRequest.MeasurePace) {
      return shutdownRequested
          ? Future.succeededFuture(new LinkReply.Failed())
          : configurationWatcher.checkStore().map(this::measureSpeed);
    }
    if (request instanceof LinkRequest.ProveConfiguration proof) {
      return Future.succeededFuture(configurationWatcher.proveConfiguration(proof.version()));
    }
    if (request instanceof LinkRequest.FollowOwner owner) {
      directory.learn(OwnerRecord.of(owner));
      return Future.succeededFuture(new LinkReply.Noted());
    }
    if (request instanceof LinkRequest.StandBy) {
      ownership.standBy();
      return Future.succeededFuture(new LinkReply.Noted());
    }
    if (request instanceof LinkRequest.TakeOver) {
      return ownership
          .takeOverOnRequest()
          .map(taken -> taken ? new LinkReply.Noted() : new LinkReply.Failed());
    }
    return ownership.answer(request);
  }

  /** An instance that the store does not answer cannot take the cell over, however fast it is. */
  private LinkReply measureSpeed(boolean storeAnswers) {
    return storeAnswers
        ? new LinkReply.Number(speedMonitor.measureMicros())
        : new LinkReply.Failed();
  }

  private Future<LinkReply> advise(LinkRequest.Advise request) {
    if (advisorClient == null) {
      return Future.succeededFuture(new LinkReply.Failed());
    }
    return advisorClient
        .requestAdvice(request.step(), request.workers(), request.timeoutMillis())
        .map(advice -> (LinkReply) new LinkReply.Tickets(advice.tickets(), advice.validMillis()))
        .otherwise(
            error -> {
              log.event(
                  PART, "advisor-failed", "step", request.step(), "error", error.getMessage());
              return new LinkReply.Failed();
            });
  }

  /**
   * Starts the graceful shutdown of the instance. The process's shutdown hook calls it, also while
   * the instance starts; callable from any thread.
   *
   * @param control the context of this verticle, or null if it has none yet
   * @param processEndsAtNanos when the process exits, by {@link System#nanoTime}
   * @return completes when this instance neither owns the cell nor is taking it over, or when that
   *     time has passed
   */
  public Future<Void> leave(Context control, long processEndsAtNanos) {
    shutdownDeadlineNanos = processEndsAtNanos;
    shutdownRequested = true;
    drainIfStopping();
    Promise<Void> handedOver = Promise.promise();
    if (control == null) {
      handedOver.complete();
    } else {
      control.runOnContext(none -> handOverCell().onComplete(handedOver));
    }
    return handedOver.future();
  }

  private Future<Void> handOverCell() {
    if (handover == null) {
      return Future.succeededFuture();
    }
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(shutdownDeadlineNanos - System.nanoTime());
    return handover.leave(Math.max(0, remainingMillis));
  }

  /**
   * Gives up the ownership of the cell at once, whether or not a successor has taken over; callable
   * from any thread.
   *
   * @return completes when this instance sends no further orders and writes no further records
   */
  public Future<Void> stepDown() {
    Promise<Void> done = Promise.promise();
    Context control = context;
    if (control == null) {
      return Future.succeededFuture();
    }
    control.runOnContext(
        none -> {
          if (ownership != null) {
            ownership.shutDown();
          }
          done.complete();
        });
    return done.future();
  }

  /**
   * Starts to drain the callers' connections once the shutdown was requested and the front server
   * exists, whichever comes second. If the instance is shut down while it starts, its front server
   * would otherwise begin to listen afterwards and accept requests with their full deadline, and
   * the process would exit before they are answered.
   */
  private synchronized void drainIfStopping() {
    FrontServer server = frontServer;
    if (shutdownRequested && server != null && !draining) {
      draining = true;
      server.drain(shutdownDeadlineNanos).onComplete(drainPromise);
    }
  }

  /**
   * Returns the end of the drain that {@link #leave} starts; callable from any thread.
   *
   * @return completes when the balancer has noticed the shutdown and no caller is connected; at
   *     once if there is no front server
   */
  public Future<Void> callersDisconnected() {
    return frontServer == null ? Future.succeededFuture() : drainPromise.future();
  }

  /**
   * Returns the counts of connections and requests; callable from any thread.
   *
   * @return the counts, from {@link #leave} on if that was called
   */
  public DrainReport drainReport() {
    FrontServer server = frontServer;
    return server == null ? DrainReport.NONE : server.report();
  }

  /**
   * Returns what the callers hold; callable from any thread.
   *
   * @return the memory and the connections
   */
  public IntakeReport intakeReport() {
    FrontServer server = frontServer;
    return server == null ? IntakeReport.NONE : server.intake();
  }

  /**
   * Closes the callers' connections shortly before the process exits; callable from any thread.
   *
   * @return completes when all are closed
   */
  public Future<Void> closeFront() {
    FrontServer server = frontServer;
    if (server == null) {
      return Future.succeededFuture();
    }
    context.runOnContext(none -> gateway.refuseUnsent());
    return server.close();
  }

  /**
   * Explains the state of a submission to an operator; callable from any thread.
   *
   * @param id the submission's id
   * @return lines of text from the owner, whichever instance that is
   */
  public Future<String> explain(String id) {
    Promise<String> explained = Promise.promise();
    context.runOnContext(
        none ->
            gateway
                .ask(new LinkRequest.Explain(id), EXPLAIN_TIMEOUT_MILLIS)
                .onSuccess(
                    reply ->
                        explained.complete(
                            reply instanceof LinkReply.Lines lines
                                ? String.join("\n", lines.lines()) + "\n"
                                : "no owner answers; ask again\n")));
    return explained.future();
  }

  /**
   * Tells whether callers are connected; callable from any thread.
   *
   * @return true while the process should continue to run
   */
  public boolean hasConnections() {
    return drainReport().connections() > 0;
  }

  /**
   * Tells whether the instance is shutting down; callable from any thread.
   *
   * @return true from {@link #leave} on
   */
  public boolean isStopping() {
    return shutdownRequested;
  }

  /**
   * Returns the bytes sent and received by purpose; callable from any thread.
   *
   * @return the counter
   */
  public TrafficCounter traffic() {
    return traffic;
  }

  Context controlContext() {
    return context;
  }
}
