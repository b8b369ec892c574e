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
import org.hickorypier.daemon.owner.Ownership;
import org.hickorypier.daemon.owner.ProcessorSpeedMonitor;
import org.hickorypier.daemon.time.TimerService;

/**
 * Gives the cell to another instance when this one ends, or when the store refuses it.
 *
 * <p>Failure: the owner ends while all others are being restarted, or ends in its very takeover.
 * Symptom: the cell has no owner until an instance comes back, and no caller is served. Safeguard:
 * an owner that ends goes on as the owner until another has taken over, and asks each instance that
 * comes. It is enough because the claim of the successor, not the resignation of the predecessor,
 * passes the cell on. Belongs to the control thread.
 */
final class Handover {

  private static final String PART = "node";

  private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

  /**
   * Instances that a refused owner asks in a row. Where the store serves two thirds of the
   * machines, three find one of those 24 times in 25; where it is away for all, every further
   * question only adds to its load.
   */
  private static final int CANDIDATES_PER_ROUND = 3;

  /** Pause after so many, in milliseconds; the store is back in seconds if it is away for all. */
  private static final long ROUND_INTERVAL_MILLIS = 300;

  /** One refused or lost append is repeated; after this time it is no chance any more. */
  private static final long STORE_UNAVAILABLE_MILLIS = 150;

  /** An instance that did not take over may be taking over already, or the store refuses it. */
  private static final long REPEAT_REQUEST_DELAY_MILLIS = 500;

  /** A successor's first orders reach the workers, and its record the store, within this time. */
  private static final Duration FENCE_DELAY = Duration.ofMillis(300);

  /** Reading the journal and writing the owner record takes some 100 ms on a busy machine. */
  private static final long TAKE_OVER_TIMEOUT_MILLIS = 900;

  /**
   * A quick successor reads the journal and claims the cell within some 50 ms, one that finds much
   * to read within 100; callers that hand something in wait for it.
   */
  private static final long WRITE_PAUSE_MILLIS = 250;

  /** Most instances answer within 10 ms; one that takes longer than this is no good successor. */
  private static final Duration MEASUREMENT_TIMEOUT = Duration.ofMillis(60);

  /** A slowed owner looks for a quicker one at most so often, in milliseconds. */
  private static final long SPEED_HANDOVER_INTERVAL_MILLIS = 3_000;

  /** A successor has to be so much quicker than this instance to be worth the pause. */
  private static final int MIN_SPEED_RATIO = 2;

  private final Ownership ownership;
  private final ProcessorSpeedMonitor speedMonitor;
  private final TimerService timers;
  private final EventLog log;
  private final List<Peer> peers = new ArrayList<>();
  private Promise<Void> leavePromise;
  private boolean handingOver;

  /**
   * An owner that the store refuses does not rest: it writes nothing anyway, and where the store is
   * away for all, nobody takes over and what was accepted has to go on.
   */
  private boolean writingPaused;

  private long nextRoundAtMillis;
  private long nextSpeedHandoverAtMillis;
  private int rotationOffset;

  Handover(Ownership ownership, ProcessorSpeedMonitor pace, TimerService timers, EventLog log) {
    this.ownership = ownership;
    this.speedMonitor = pace;
    this.timers = timers;
    this.log = log;
  }

  void start() {
    timers.every(CHECK_PERIOD, this::checkHandover);
  }

  /** Takes notice of an instance that has opened a link to this one. */
  Peer addPeer(Link link, String address) {
    Peer peer = new Peer(link, address);
    peers.add(peer);
    return peer;
  }

  void removePeer(Peer peer) {
    peers.remove(peer);
  }

  /**
   * Begins to look for a successor, since the process ends.
   *
   * @param leftMillis the time until then, in milliseconds
   * @return done when this instance neither owns the cell nor is about to, or that time is over
   */
  Future<Void> leave(long leftMillis) {
    if (leavePromise == null) {
      leavePromise = Promise.promise();
      timers.after(Duration.ofMillis(leftMillis), leavePromise::tryComplete);
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
    } else if (ownership.isOwner()
        && speedMonitor.isSlowed()
        && timers.nowMillis() >= nextSpeedHandoverAtMillis) {
      handOverToFasterInstance();
    } else {
      handOverIfStoreUnavailable();
    }
  }

  /**
   * Load: the owner's machine turns several times slower and goes on answering. Harm prevented: it
   * falls behind with all starts of the cell until the others suspect it, and a suspicion that its
   * late answers allay does so again and again. The pause of one handover is shorter.
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
              taken -> {
                // An owner that has learnt of its successor has nothing more to give up.
                if (ownership.isSafeToShutDown()) {
                  leavePromise.tryComplete();
                }
              });
    }
  }

  /** The store may refuse this machine and serve the others: another instance should try. */
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
   * Asks instances how quick they are, and then one after another to take over.
   *
   * @param eligible which instances to ask
   * @param chosen chooses among them, which come the best first
   * @param wanted tells whether a successor is still wanted
   * @return whether one has said that it has taken over
   */
  private Future<Boolean> findSuccessor(
      Predicate<Peer> eligible, UnaryOperator<List<Peer>> chosen, BooleanSupplier wanted) {
    List<Peer> due = peers.stream().filter(eligible).toList();
    if (due.isEmpty()) {
      return Future.succeededFuture(false);
    }
    handingOver = true;
    return measureSpeeds(due)
        .compose(measured -> handOver(chosen.apply(sortedByPreference(due)), wanted));
  }

  private static List<Peer> sortedByPreference(List<Peer> due) {
    return Successor.sortedByPreference(due.stream().map(Peer::asSuccessor).toList()).stream()
        .map(Successor::peer)
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private Future<Void> measureSpeeds(List<Peer> due) {
    Promise<Void> measured = Promise.promise();
    List<Future<LinkReply>> replies = new ArrayList<>();
    for (Peer peer : due) {
      peer.recordMeasurement(Successor.NO_ANSWER_MICROS);
      replies.add(
          peer.link()
              .ask(new LinkRequest.MeasurePace(), TAKE_OVER_TIMEOUT_MILLIS)
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
   * Asks one instance after another to take over, until one has.
   *
   * @param candidates the instances, in order
   * @param wanted tells whether a successor is still wanted
   * @return whether one has said that it has taken over
   */
  private Future<Boolean> handOver(List<Peer> candidates, BooleanSupplier wanted) {
    if (candidates.isEmpty() || !ownership.isOwner() || !wanted.getAsBoolean()) {
      handingOver = false;
      return Future.succeededFuture(false);
    }
    handingOver = true;
    Peer next = candidates.remove(0);
    next.recordTakeOverRequest(timers.nowMillis());
    writingPaused = !isStoreUnavailable();
    if (writingPaused) {
      ownership.pauseWriting(WRITE_PAUSE_MILLIS);
    }
    return next.link()
        .ask(new LinkRequest.TakeOver(), TAKE_OVER_TIMEOUT_MILLIS)
        .transform((reply, error) -> handleTakeOverReply(next, reply, error, candidates, wanted));
  }

  private Future<Boolean> handleTakeOverReply(
      Peer next, LinkReply reply, Throwable error, List<Peer> candidates, BooleanSupplier wanted) {
    boolean taken = reply instanceof LinkReply.Noted;
    log.event(
        PART,
        "handover",
        "asked",
        next.address(),
        "work_us",
        next.asSuccessor().workMicros(),
        "taken",
        taken,
        "answered",
        error == null,
        "left",
        candidates.size());
    if (taken) {
      handingOver = false;
      ownership.completeHandover();
      return Future.succeededFuture(true);
    }
    if (error != null) {
      // An instance that has taken over closes its link to the former owner, often before its
      // reply. The next append tells so in a moment; asking the next one would make two.
      resumeWriting(FENCE_DELAY.toMillis());
      return awaitFenceDelay().compose(paused -> handOver(candidates, wanted));
    }
    resumeWriting(0);
    return handOver(candidates, wanted);
  }

  private void resumeWriting(long startsRestMillis) {
    if (writingPaused) {
      writingPaused = false;
      ownership.resumeWriting(startsRestMillis);
    }
  }

  private Future<Void> awaitFenceDelay() {
    Promise<Void> paused = Promise.promise();
    timers.after(FENCE_DELAY, paused::tryComplete);
    return paused.future();
  }
}
