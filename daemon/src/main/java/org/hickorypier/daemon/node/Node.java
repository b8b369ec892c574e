package org.hickorypier.daemon.node;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.net.NetClientOptions;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.daemon.front.DrainReport;
import org.hickorypier.daemon.front.FrontServer;
import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkHandler;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.owner.Candidate;
import org.hickorypier.daemon.owner.ConfigurationWatcher;
import org.hickorypier.daemon.owner.OwnerDependencies;
import org.hickorypier.daemon.owner.OwnerDirectory;
import org.hickorypier.daemon.owner.OwnerGateway;
import org.hickorypier.daemon.owner.OwnerRecord;
import org.hickorypier.daemon.owner.Ownership;
import org.hickorypier.daemon.owner.ProcessorSpeedMonitor;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.daemon.time.VertxTimerService;
import org.hickorypier.platform.advice.AdviceClient;
import org.hickorypier.platform.execution.WorkerClient;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.store.StoreClient;

/**
 * One instance: all parts, wired on two threads, one for control state and one for traffic.
 *
 * <p>{@link #stop} may be called from any thread; the rest belongs to the control thread.
 */
public final class Node extends VerticleBase {

  private static final String PART = "node";

  /** Connections to one worker: one renewal that waits, and the orders of a gang beside it. */
  private static final int WORKER_CONNECTIONS = 5;

  /** Reads that wait, one append, one sign to the group, one list of workers, and some to spare. */
  private static final int STORE_CONNECTIONS = 8;

  /** The advisor serves one call at a time for each instance; more connections queue there. */
  private static final int ADVICE_CONNECTIONS = 16;

  private static final int CONNECT_MILLIS = 500;

  /** A sample takes some 20 us; three tell that the machine has turned slow. */
  private static final Duration PACE_PERIOD = Duration.ofMillis(250);

  /** Longer than a takeover. */
  private static final long EXPLAIN_MILLIS = 2_000;

  /**
   * Without an owner for this long, callers are better served elsewhere. A usual takeover is
   * shorter, and an instance that leaves the rotation needs a second to come back.
   */
  private static final long OWNERLESS_MILLIS = 3_000;

  private final NodeSettings settings;
  private final EventLog log;
  private final LongSupplier wall;
  private final ProcessorSpeedMonitor pace;
  private ConfigurationWatcher configuration;
  private Ownership ownership;
  private OwnerGateway gateway;
  private volatile FrontServer front;
  private volatile boolean stopping;
  private volatile long endsAtNanos;
  private boolean draining;
  private final Promise<Void> callersGone = Promise.promise();
  private volatile long ownerlessMillis;
  private Handover handover;
  private AdviceClient advisor;
  private VertxTimerService timers;

  /**
   * Creates the instance.
   *
   * @param settings its settings
   * @param log takes the events
   * @param wall the time of day, milliseconds since 1970
   */
  public Node(NodeSettings settings, EventLog log, LongSupplier wall) {
    this(settings, log, wall, new ProcessorSpeedMonitor(ProcessorSpeedMonitor::runWorkload));
  }

  Node(NodeSettings settings, EventLog log, LongSupplier wall, ProcessorSpeedMonitor pace) {
    this.settings = settings;
    this.log = log;
    this.wall = wall;
    this.pace = pace;
  }

  @Override
  public Future<?> start() {
    if (stopping) {
      return Future.failedFuture("the instance was told to end before it had started");
    }
    timers = new VertxTimerService(vertx, context);
    SuspensionDetector pauses = new SuspensionDetector(timers::nowMillis, wall);
    StoreClient store =
        new StoreClient(new PooledHttpClient(vertx, STORE_CONNECTIONS), settings.store());
    advisor =
        settings.advisor() == null
            ? null
            : new AdviceClient(new PooledHttpClient(vertx, ADVICE_CONNECTIONS), settings.advisor());
    OwnerDependencies instruments =
        new OwnerDependencies(
            store,
            new WorkerClient(new PooledHttpClient(vertx, WORKER_CONNECTIONS)),
            timers,
            wall,
            pauses,
            log,
            settings.cell(),
            settings.workerHeartbeatMillis());
    String peerAddress = "" + settings.advertisedPeer();
    OwnerDirectory directory = new OwnerDirectory(store, timers, log, this::ownerChanged);
    Candidate self = new Candidate(peerAddress, settings.strength());
    ownership =
        new Ownership(
            instruments,
            settings.name() + "@" + peerAddress,
            self,
            settings.groupLifetimeMillis(),
            directory);
    ownership.addAdvisorClient(settings.address(), (request, timeout) -> advise(request));
    configuration =
        new ConfigurationWatcher(
            store, timers, pauses, log, settings.revokeMillis(), this::configured);
    handover = new Handover(ownership, pace, timers, log);
    gateway =
        new OwnerGateway(
            vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_MILLIS).setTcpNoDelay(true)),
            timers,
            log,
            directory,
            ownership,
            this::answerPeer,
            self,
            pace);
    timers.every(Duration.ofMillis(100), () -> ownerlessMillis = gateway.ownerlessMillis());
    timers.every(PACE_PERIOD, pace::sample);
    configuration.start();
    directory.start();
    gateway.start();
    // Callers that find nobody listening use up one of their few tries, so the front comes first.
    Future<?> traffic = startTraffic(context);
    return vertx
        .createNetServer()
        .connectHandler(
            socket -> {
              PeerHandler answers = new PeerHandler();
              Link link = new Link(socket, answers, timers);
              String address = socket.remoteAddress().hostAddress();
              answers.peer = handover.linked(link, address);
              Runnable forget = ownership.addAdvisorClient(address, link::ask);
              link.onClose(
                  () -> {
                    handover.unlinked(answers.peer);
                    forget.run();
                  });
            })
        .listen(settings.peerPort(), settings.address())
        .onSuccess(
            listening -> {
              ownership.start(gateway::checkOwnerAlive, gateway::silentMillis);
              handover.start();
            })
        .compose(listening -> traffic);
  }

  private Future<?> startTraffic(Context control) {
    return vertx.deployVerticle(
        new VerticleBase() {
          @Override
          public Future<?> start() {
            FrontServer server =
                new FrontServer(
                    vertx, control, configuration, gateway::ask, Node.this::ready, wall, log);
            front = server;
            drainIfStopping();
            return server.listen(settings.front(), settings.ready());
          }
        });
  }

  private boolean ready() {
    return !stopping
        && configuration.current() != null
        && configuration.isFresh()
        && ownerlessMillis < OWNERLESS_MILLIS;
  }

  private void configured(ClusterConfiguration newer) {
    ownership.configure(newer.customers());
  }

  private void ownerChanged(OwnerRecord owner) {
    ownership.observeOwner(owner);
    gateway.ownerChanged();
  }

  /** Answers one instance that has opened a link to this one. */
  private final class PeerHandler implements LinkHandler {

    private Peer peer;

    @Override
    public Future<LinkReply> answer(LinkRequest request) {
      if (request instanceof LinkRequest.Introduce introduce) {
        peer.introduced(introduce, timers.nowMillis());
        return Future.succeededFuture(new LinkReply.Noted());
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
      return Future.succeededFuture(
          stopping ? new LinkReply.Failed() : new LinkReply.Number(pace.measureMicros()));
    }
    if (request instanceof LinkRequest.TakeOver) {
      return ownership
          .takeOverOnRequest()
          .map(taken -> taken ? new LinkReply.Noted() : new LinkReply.Failed());
    }
    return ownership.answer(request);
  }

  private Future<LinkReply> advise(LinkRequest.Advise request) {
    if (advisor == null) {
      return Future.succeededFuture(new LinkReply.Failed());
    }
    return advisor
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
   * Ends the instance gracefully; called from the process's shutdown hook, at any moment of a
   * start.
   *
   * @param control the context of this verticle, or null if it has none yet
   * @param processEndsAtNanos when the process ends, as {@link System#nanoTime} tells
   * @return done when this instance neither owns the cell nor is about to, or that time is over
   */
  public Future<Void> leave(Context control, long processEndsAtNanos) {
    endsAtNanos = processEndsAtNanos;
    stopping = true;
    drainIfStopping();
    Promise<Void> left = Promise.promise();
    if (control == null) {
      left.complete();
    } else {
      control.runOnContext(none -> giveUpCell().onComplete(left));
    }
    return left.future();
  }

  private Future<Void> giveUpCell() {
    if (handover == null) {
      return Future.succeededFuture();
    }
    long left = TimeUnit.NANOSECONDS.toMillis(endsAtNanos - System.nanoTime());
    return handover.leave(Math.max(0, left));
  }

  /**
   * Stops deciding at once, whether or not a successor has taken over; called from any thread.
   *
   * @return done when nothing is ordered or written any more
   */
  public Future<Void> abdicate() {
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
   * Failure: the instance is told to end while it starts. Symptom: its front begins to listen
   * afterwards, takes requests for their full time, and the process ends beneath them. Safeguard:
   * whichever of the two comes second begins to send the callers away.
   */
  private synchronized void drainIfStopping() {
    FrontServer server = front;
    if (stopping && server != null && !draining) {
      draining = true;
      server.drain(endsAtNanos).onComplete(callersGone);
    }
  }

  /**
   * Tells when the callers have gone after {@link #leave}; called from any thread.
   *
   * @return done when the balancer has noticed and no caller is connected
   */
  public Future<Void> callersGone() {
    return front == null ? Future.succeededFuture() : callersGone.future();
  }

  /**
   * Returns what has become of the callers; called from any thread.
   *
   * @return the counts, since {@link #leave} if that was called
   */
  public DrainReport drainReport() {
    FrontServer server = front;
    return server == null ? DrainReport.NONE : server.report();
  }

  /**
   * Closes the callers' connections, a moment before the process ends; called from any thread.
   *
   * @return done when all are closed
   */
  public Future<Void> closeFront() {
    FrontServer server = front;
    return server == null ? Future.succeededFuture() : server.close();
  }

  /**
   * Explains to an operator where a submission stands; called from any thread.
   *
   * @param id the submission's id
   * @return lines of text, from the owner wherever it is
   */
  public Future<String> explain(String id) {
    Promise<String> explained = Promise.promise();
    context.runOnContext(
        none ->
            gateway
                .ask(new LinkRequest.Explain(id), EXPLAIN_MILLIS)
                .onSuccess(
                    reply ->
                        explained.complete(
                            reply instanceof LinkReply.Lines lines
                                ? String.join("\n", lines.lines()) + "\n"
                                : "no owner answers; ask again\n")));
    return explained.future();
  }

  /**
   * Tells whether callers are connected or waiting.
   *
   * @return true while the process should go on
   */
  public boolean busy() {
    return drainReport().connections() > 0;
  }

  /**
   * Tells whether the instance was told to end; may be asked from any thread.
   *
   * @return true from {@link #leave} on
   */
  public boolean stopping() {
    return stopping;
  }

  Context controlContext() {
    return context;
  }
}
