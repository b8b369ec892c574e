package org.hickorypier.daemon.node;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.owner.OwnerRecord;
import org.hickorypier.daemon.owner.Ownership;
import org.hickorypier.daemon.owner.ProcessorSpeedMonitor;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;

/**
 * Hands the cell over to another instance when this one shuts down, when the store is unavailable
 * to it, or when its machine has become slow.
 *
 * <p>If the owner shuts down while all other instances are being restarted, or during its own
 * takeover, giving up the cell at once would leave it without an owner until an instance comes
 * back, and no caller would be served. Therefore an owner that shuts down remains the owner until
 * another instance has taken over, and asks every instance that connects. This is sufficient
 * because the claim of the successor, not the resignation of the predecessor, transfers the cell.
 * Confined to the control thread.
 */
final class Handover {

  private static final String PART = "node";

  private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

  private static final Duration STANDBY_PERIOD = Duration.ofSeconds(1);

  /** The loss of the owner and of one more machine leaves a standby. */
  private static final int STANDBY_COUNT = 2;

  /** A link that is silent for this long is closed. */
  private static final long STANDBY_REPLY_TIMEOUT_MILLIS = 3_000;

  /**
   * Number of instances that an owner without a store asks in one round. If the store serves two
   * thirds of the machines, three instances include one of those in 24 of 25 cases; if the store is
   * unavailable to all, every further request only adds to its load.
   */
  private static final int CANDIDATES_PER_ROUND = 3;

  /**
   * Time between two rounds, in milliseconds. A store that is unavailable to all instances is back
   * within seconds.
   */
  private static final long ROUND_INTERVAL_MILLIS = 300;

  /**
   * Time without a successful append after which the store counts as unavailable. A single refused
   * or lost append is retried; a failure that lasts this long is not a coincidence.
   */
  private static final long STORE_UNAVAILABLE_MILLIS = 150;

  /**
   * Time before an instance that did not take over is asked again. It may already be taking over,
   * or the store may refuse it.
   */
  private static final long REPEAT_REQUEST_DELAY_MILLIS = 500;

  /** Within this time a successor's first orders reach the workers, and its record the store. */
  private static final Duration FENCE_DELAY = Duration.ofMillis(300);

  /** Reading the journal and writing the owner record take about 100 ms on a busy machine. */
  private static final long TAKE_OVER_TIMEOUT_MILLIS = 900;

  /**
   * Longest time for which this owner appends nothing during a takeover request. It starts nothing
   * until the request is answered, since the successor may claim the cell at any time. A fast
   * successor reads the journal and claims the cell within about 50 ms, one with much to read
   * within 100 ms; callers that submit work wait meanwhile.
   */
  private static final long WRITE_PAUSE_MILLIS = 250;

  /** Most instances answer within 10 ms; one that takes longer than this is a poor successor. */
  private static final Duration MEASUREMENT_TIMEOUT = Duration.ofMillis(60);

  /** Minimum time between two searches of a slowed owner for a faster instance. */
  private static final long SPEED_HANDOVER_INTERVAL_MILLIS = 3_000;

  /** Factor by which a successor must be faster than this instance to justify the pause. */
  private static final int MIN_SPEED_RATIO = 2;

  private final Ownership ownership;
  private final ProcessorSpeedMonitor speedMonitor;
  private final TimerService timers;
  private final EventLog log;
  private final List<Peer> peers = new ArrayList<>();
  private Promise<Void> leavePromise;
  private boolean handingOver;

  /**
   * Whether writing is paused for a takeover request. An owner without a store does not pause: it
   * writes nothing anyway, and if the store is unavailable to all instances, nobody takes over and
   * accepted work has to go on.
   */
  private boolean writingPaused;

  private long nextRoundAtMillis;
  private long nextSpeedHandoverAtMillis;
  private int rotationOffset;
  private TimerSubscription checkTimer;
  private TimerSubscription standbyTimer;

  Handover(
      Ownership ownership, ProcessorSpeedMonitor speedMonitor, TimerService timers, EventLog log) {
    this.ownership = ownership;
    this.speedMonitor = speedMonitor;
    this.timers = timers;
    this.log = log;
  }

  /** Starts the checks, which end by themselves once this instance does not own the cell. */
  void ownershipGained() {
    startChecks();
    if (standbyTimer == null) {
      standbyTimer = timers.every(STANDBY_PERIOD, this::requestStandbys);
    }
  }

  private void startChecks() {
    if (checkTimer == null) {
      checkTimer = timers.every(CHECK_PERIOD, this::checkHandover);
    }
  }

  private void requestStandbys() {
    if (!ownership.isOwner()) {
      standbyTimer.cancel();
      standbyTimer = null;
      return;
    }
    List<Successor> linked =
        peers.stream().filter(Peer::supportsRelays).map(Peer::asSuccessor).toList();
    for (Successor standby : Successor.standbys(linked, STANDBY_COUNT)) {
      standby.peer().link().sendRequest(new LinkRequest.StandBy(), STANDBY_REPLY_TIMEOUT_MILLIS);
    }
  }

  /**
   * Tells the instances that are linked to this one, the former owner, of a newer owner. The store
   * may not answer some of them, and they would search for an owner until it does.
   */
  void announceOwner(OwnerRecord owner) {
    for (Peer peer : peers) {
      if (peer.takesRelayedReads()) {
        peer.link().sendRequest(owner.toMessage(), STANDBY_REPLY_TIMEOUT_MILLIS);
      }
    }
  }

  /** Adds an instance that has opened a link to this one. */
  Peer addPeer(Link link, String address) {
    Peer peer = new Peer(link, address);
    peers.add(peer);
    return peer;
  }

  void removePeer(Peer peer) {
    peers.remove(peer);
  }

  /**
   * Starts to search for a successor, since the process is about to exit.
   *
   * @param timeoutMillis the time until the process exits, in milliseconds
   * @return completes when this instance neither owns the cell nor is taking it over, or after the
   *     timeout
   */
  Future<Void> leave(long timeoutMillis) {
    if (leavePromise == null) {
      leavePromise = Promise.promise();
      startChecks();
      timers.after(Duration.ofMillis(timeoutMillis), leavePromise::tryComplete);
      ownership.leave().onComplete(written -> checkHandover());
    }
    return leavePromise.future();
  }

  private void checkHandover() {
    if (handingOver) {
      return;
    }
    if (leavePromise != null) {
      handOverForShutdown();
    } else if (!ownership.isOwner()) {
      rotationOffset = 0;
      checkTimer.cancel();
      checkTimer = null;
    } else if (speedMonitor.isSlowed() && timers.nowMillis() >= nextSpeedHandoverAtMillis) {
      handOverToFasterInstance();
    } else {
      handOverIfStoreUnavailable();
    }
  }

  /**
   * Hands the cell over if another instance is much faster. An owner whose machine becomes several
   * times slower but still answers falls behind with all starts of the cell until the others
   * suspect it; its late answers clear the suspicion again and again. One handover causes a shorter
   * pause.
   */
  private void handOverToFasterInstance() {
    nextSpeedHandoverAtMillis = timers.nowMillis() + SPEED_HANDOVER_INTERVAL_MILLIS;
    int own = speedMonitor.measureMicros();
    findSuccessor(peer -> true, all -> fasterThan(own, all), speedMonitor::isSlowed);
  }

  private static List<Peer> fasterThan(int micros, List<Peer> all) {
    return all.stream()
        .filter(peer -> (long) MIN_SPEED_RATIO * peer.asSuccessor().workMicros() < micros)
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private void handOverForShutdown() {
    if (ownership.isSafeToShutDown()) {
      leavePromise.tryComplete();
    } else if (ownership.isOwner()) {
      findSuccessor(
              peer ->
                  peer.millisSinceTakeOverRequest(timers.nowMillis())
                      >= REPEAT_REQUEST_DELAY_MILLIS,
              all -> all,
              () -> true)
          .onSuccess(
              takenOver -> {
                // An owner that has learned of its successor has already given the cell up.
                if (ownership.isSafeToShutDown()) {
                  leavePromise.tryComplete();
                }
              });
    }
  }

  /** Asks other instances to take over, since the store may refuse only this machine. */
  private void handOverIfStoreUnavailable() {
    if (!isStoreUnavailable()) {
      rotationOffset = 0;
    } else if (timers.nowMillis() >= nextRoundAtMillis) {
      nextRoundAtMillis = timers.nowMillis() + ROUND_INTERVAL_MILLIS;
      findSuccessor(peer -> true, this::nextRound, this::isStoreUnavailable);
    }
  }

  private List<Peer> nextRound(List<Peer> all) {
    Collections.rotate(all, -rotationOffset);
    rotationOffset += CANDIDATES_PER_ROUND;
    return new ArrayList<>(all.subList(0, Math.min(CANDIDATES_PER_ROUND, all.size())));
  }

  private boolean isStoreUnavailable() {
    return ownership.isStoreUnavailableFor(STORE_UNAVAILABLE_MILLIS);
  }

  /**
   * Measures the speed of instances, and then asks them one after another to take over.
   *
   * @param eligible selects the instances to measure
   * @param selection selects candidates from a list with the preferred instance first
   * @param stillNeeded tells whether a successor is still needed
   * @return whether an instance has confirmed that it has taken over
   */
  private Future<Boolean> findSuccessor(
      Predicate<Peer> eligible, UnaryOperator<List<Peer>> selection, BooleanSupplier stillNeeded) {
    List<Peer> asked = peers.stream().filter(eligible).toList();
    if (asked.isEmpty()) {
      return Future.succeededFuture(false);
    }
    handingOver = true;
    return measureSpeeds(asked)
        .compose(measured -> handOver(selection.apply(sortedByPreference(asked)), stillNeeded));
  }

  private static List<Peer> sortedByPreference(List<Peer> asked) {
    return Successor.sortedByPreference(asked.stream().map(Peer::asSuccessor).toList()).stream()
        .map(Successor::peer)
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private Future<Void> measureSpeeds(List<Peer> asked) {
    Promise<Void> measured = Promise.promise();
    List<Future<LinkReply>> replies = new ArrayList<>();
    for (Peer peer : asked) {
      peer.recordMeasurement(Successor.NO_ANSWER_MICROS);
      replies.add(
          peer.link()
              .sendRequest(new LinkRequest.MeasurePace(), TAKE_OVER_TIMEOUT_MILLIS)
              .onSuccess(reply -> recordMeasurement(peer, reply)));
    }
    Future.join(replies).onComplete(all -> measured.tryComplete());
    timers.after(MEASUREMENT_TIMEOUT, measured::tryComplete);
    return measured.future();
  }

  private static void recordMeasurement(Peer peer, LinkReply reply) {
    if (reply instanceof LinkReply.Number micros) {
      peer.recordMeasurement(micros.number());
    }
  }

  /**
   * Asks one instance after another to take over, until one has done so.
   *
   * @param candidates the instances, in order
   * @param stillNeeded tells whether a successor is still needed
   * @return whether an instance has confirmed that it has taken over
   */
  private Future<Boolean> handOver(List<Peer> candidates, BooleanSupplier stillNeeded) {
    if (candidates.isEmpty() || !ownership.isOwner() || !stillNeeded.getAsBoolean()) {
      handingOver = false;
      return Future.succeededFuture(false);
    }
    handingOver = true;
    Peer next = candidates.remove(0);
    next.recordTakeOverRequest(timers.nowMillis());
    writingPaused = !isStoreUnavailable();
    if (writingPaused) {
      ownership.pauseWriting(WRITE_PAUSE_MILLIS, TAKE_OVER_TIMEOUT_MILLIS);
    }
    return next.link()
        .sendRequest(new LinkRequest.TakeOver(), TAKE_OVER_TIMEOUT_MILLIS)
        .transform(
            (reply, error) -> handleTakeOverReply(next, reply, error, candidates, stillNeeded));
  }

  private Future<Boolean> handleTakeOverReply(
      Peer next,
      LinkReply reply,
      Throwable error,
      List<Peer> candidates,
      BooleanSupplier stillNeeded) {
    boolean takenOver = reply instanceof LinkReply.Noted;
    log.event(
        PART,
        "handover",
        "asked",
        next.address(),
        "work_us",
        next.asSuccessor().workMicros(),
        "taken",
        takenOver,
        "answered",
        error == null,
        "left",
        candidates.size());
    if (takenOver) {
      handingOver = false;
      ownership.completeHandover();
      return Future.succeededFuture(true);
    }
    if (error != null) {
      // An instance that has taken over closes its link to the former owner, often before its reply
      // is sent. The next append shows soon whether it has; asking another instance at once could
      // produce two takeovers.
      resumeWriting(FENCE_DELAY.toMillis());
      return awaitFenceDelay().compose(paused -> handOver(candidates, stillNeeded));
    }
    resumeWriting(0);
    return handOver(candidates, stillNeeded);
  }

  private void resumeWriting(long startDelayMillis) {
    if (writingPaused) {
      writingPaused = false;
      ownership.resumeWriting(startDelayMillis);
    }
  }

  private Future<Void> awaitFenceDelay() {
    Promise<Void> paused = Promise.promise();
    timers.after(FENCE_DELAY, paused::tryComplete);
    return paused.future();
  }
}
