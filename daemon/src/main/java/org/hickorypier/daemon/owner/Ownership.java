package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.core.cell.EvacuationReading;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.GroupMembership;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.Snapshot;

/**
 * Decides whether this instance owns the cell.
 *
 * <p>Only the epoch in the journal makes an instance the owner, and any instance may take the cell
 * over. Which one does so depends on how fast the loss is detected and on how few takeovers it
 * costs: the owner hands over when it leaves or when the store refuses its appends; an instance
 * whose owner refuses connections takes over; otherwise the store's group, which detects silent
 * members, assigns a candidate. The candidate does not replace an owner that proves its ownership,
 * so that a full rebalance of the group causes no takeover.
 *
 * <p>Confined to the control thread.
 */
public final class Ownership {

  private static final String PART = "ownership";

  /** Heartbeats within the lifetime of a group member; two of them may be lost. */
  private static final int HEARTBEATS_PER_LIFETIME = 4;

  private static final Duration ANNOUNCE_RETRY_DELAY = Duration.ofMillis(150);

  private static final Duration NOTIFY_RETRY_DELAY = Duration.ofMillis(100);

  /** An owner whose last proof of ownership is no older than this is not replaced. */
  private static final long PROOF_VALIDITY_MILLIS = 1_600;

  /**
   * The minimum interval between two takeovers that this instance starts by itself. Where the two
   * sides of a network partition refuse each other's connections, the cell would otherwise move
   * back and forth between them continuously.
   */
  private static final long MIN_TAKEOVER_INTERVAL_MILLIS = 5_000;

  /**
   * The minimum interval between two checks of a suspected owner. An instance that is cut off from
   * the owner queries the store again and again and finds the owner active each time.
   */
  private static final long MIN_SUSPICION_INTERVAL_MILLIS = 700;

  /**
   * A weak machine joins the group only after no owner has answered for this time. By then the
   * stronger machines have had the chance to take over, and the lifetime of a lost member has
   * expired.
   */
  private static final long WEAK_JOIN_DELAY_MILLIS = 3_000;

  /**
   * How often an instance compares its machine with the owner's. The jitter makes the period differ
   * a little between instances.
   */
  private static final int COMPARE_PERIOD_MILLIS = 1_000;

  private static final int COMPARE_JITTER_MILLIS = 500;

  /**
   * A suspected owner that is alive writes within this time: while callers wait it appends some 50
   * times a second.
   */
  private static final Duration LIVENESS_WAIT = Duration.ofMillis(150);

  /**
   * The limit for a takeover that the owner requested. The owner asks another instance a little
   * later than this.
   */
  private static final long REQUESTED_TAKEOVER_TIMEOUT_MILLIS = 700;

  /**
   * The limit for the appends in flight when the process leaves. They are written within some 20 ms
   * unless the store is unavailable.
   */
  private static final Duration LEAVE_FLUSH_TIMEOUT = Duration.ofMillis(300);

  private final OwnerDependencies dependencies;
  private final String memberName;
  private final Candidate self;
  private final long lifetimeMillis;
  private final OwnerDirectory directory;
  private final AdviceCallBalancer adviceCallBalancer;
  private final OrderRouter orderRouter;
  private final JournalFollower journalFollower;
  private OwnerCheck ownerCheck;
  private LongPredicate ownerProvenSince = time -> false;
  private LongSupplier silentMillis = () -> 0;
  private Optional<Collection<CustomerLimits>> customers = Optional.empty();
  private EvacuationReading evacuations = EvacuationReading.NONE;
  private Owner owner;

  /**
   * The last ownership of this process, kept until the successor knows what may still run on the
   * workers.
   */
  private FormerOwnership formerOwnership;

  private long generation;
  private boolean takingOver;
  private long lastTakeoverAttemptAt = -MIN_TAKEOVER_INTERVAL_MILLIS;
  private long lastSuspicionAt = -MIN_SUSPICION_INTERVAL_MILLIS;
  private boolean leaving;
  private boolean closed;
  private boolean joining;
  private Runnable onGained = () -> {};
  private Runnable onLost = () -> {};

  /**
   * Creates the ownership of an instance that is not the owner yet.
   *
   * @param dependencies the shared clients, timers and log
   * @param member this instance's name in the group
   * @param self this instance and what its machine can carry
   * @param lifetimeMillis how long the group keeps a member without a heartbeat, in milliseconds
   * @param directory is told of a new owner
   */
  public Ownership(
      OwnerDependencies dependencies,
      String member,
      Candidate self,
      long lifetimeMillis,
      OwnerDirectory directory) {
    this.dependencies = dependencies;
    this.adviceCallBalancer = new AdviceCallBalancer(dependencies.timers());
    this.orderRouter = new OrderRouter(dependencies.timers(), dependencies.burstDelayMillis());
    this.journalFollower =
        new JournalFollower(dependencies.store(), dependencies.timers(), dependencies.log());
    this.memberName = member;
    this.self = self;
    this.lifetimeMillis = lifetimeMillis;
    this.directory = directory;
  }

  /** Asks the present owner, on whichever instance, to prove its ownership. */
  @FunctionalInterface
  public interface OwnerCheck {

    /**
     * Asks the present owner for a proof.
     *
     * @return true if there is an owner that need not be replaced
     */
    Future<Boolean> hasProvenOwner();
  }

  /**
   * Joins the group and renews the membership until this instance leaves.
   *
   * @param check asks the present owner for a proof
   * @param provenSince returns whether the present owner has shown its ownership since some time of
   *     the timers' clock, in milliseconds
   * @param ownerSilentMillis returns for how long no owner has answered, in milliseconds
   */
  public void start(OwnerCheck check, LongPredicate provenSince, LongSupplier ownerSilentMillis) {
    ownerCheck = check;
    ownerProvenSince = provenSince;
    silentMillis = ownerSilentMillis;
    dependencies
        .timers()
        .every(Duration.ofMillis(lifetimeMillis / HEARTBEATS_PER_LIFETIME), this::joinGroup);
    int jitterMillis = Math.floorMod(memberName.hashCode(), COMPARE_JITTER_MILLIS);
    dependencies
        .timers()
        .every(Duration.ofMillis(COMPARE_PERIOD_MILLIS + jitterMillis), this::compareWithOwner);
    joinGroup();
  }

  /**
   * Takes over if this machine is much stronger than the owner's, however that one became the
   * owner.
   */
  private void compareWithOwner() {
    OwnerRecord present = directory.owner();
    if (!leaving && self.strength().isMuchStrongerThan(present.strength())) {
      tryTakeOver("the owner's machine is weaker");
    }
  }

  private boolean isTooWeakToJoin() {
    return directory.owner().strength().isMuchStrongerThan(self.strength())
        && directory.owner().epoch() > 0
        && silentMillis.getAsLong() < WEAK_JOIN_DELAY_MILLIS;
  }

  private void joinGroup() {
    if (leaving || joining || isTooWeakToJoin()) {
      return;
    }
    joining = true;
    dependencies
        .store()
        .join(JournalKeys.GROUP, memberName, JournalKeys.TOPIC, lifetimeMillis, generation)
        .onComplete(
            this::handleMembership,
            error -> {
              // The store has not answered. The journal's epoch, not the group, protects the
              // workers.
              joining = false;
            });
  }

  /**
   * Applies the customers of a configuration, now and to any later ownership.
   *
   * @param updated all customers
   */
  public void configure(Collection<CustomerLimits> updated) {
    customers = Optional.of(updated);
    if (owner != null) {
      owner.configure(updated);
    }
  }

  /**
   * Applies a read of the operator's evacuations, now and to any later ownership.
   *
   * @param reading the evacuations
   */
  public void evacuationsRead(EvacuationReading reading) {
    evacuations = reading;
    if (owner != null) {
      owner.evacuationsRead(reading);
    }
  }

  /**
   * Sets the action that runs whenever this instance has become the owner.
   *
   * @param action runs on the control thread
   */
  public void onGained(Runnable action) {
    onGained = action;
  }

  /**
   * Sets the action that runs whenever this instance ceases to be the owner.
   *
   * @param action runs on the control thread
   */
  public void onLost(Runnable action) {
    onLost = action;
  }

  /**
   * Returns whether this instance is the owner.
   *
   * @return true from the takeover to the end of the ownership
   */
  public boolean isOwner() {
    return owner != null;
  }

  /** Follows the journal for some seconds, at the owner's request, unless this is the owner. */
  public void standBy() {
    if (owner == null && !leaving) {
      journalFollower.follow();
    }
  }

  /**
   * Returns whether this instance follows the journal and could take over at once.
   *
   * @return true if it has read all but the records of the last moments
   */
  public boolean isStandby() {
    return journalFollower.isReady();
  }

  /**
   * Adds an instance through which the advisor can be asked.
   *
   * @param address the instance's address, by which every owner orders the instances in the same
   *     way
   * @param client asks the advisor through that instance
   * @return removes the client; to be run when the instance is gone
   */
  public Runnable addAdvisorClient(String address, AdvisorClient client) {
    AdviceCallBalancer.Instance helper = adviceCallBalancer.add(address, client);
    return () -> adviceCallBalancer.remove(helper);
  }

  /**
   * Creates the registration of an instance that has opened a link to this one as a relay of start
   * orders.
   *
   * @param address the instance's address
   * @param sender sends requests to that instance
   * @return the registration; the instance is no relay until it is registered
   */
  public RelayRegistration relayRegistration(String address, OrderRouter.Sender sender) {
    return new RelayRegistration(orderRouter, address, sender);
  }

  /** An instance that can ask the advisor. */
  @FunctionalInterface
  public interface AdvisorClient {

    /**
     * Asks the advisor.
     *
     * @param request the question
     * @param timeoutMillis the time limit of the reply, in milliseconds
     * @return the reply; the future may fail
     */
    Future<LinkReply> ask(LinkRequest.Advise request, long timeoutMillis);
  }

  /**
   * Answers a request as the owner.
   *
   * @param request the request
   * @return the reply; {@link LinkReply.NotOwner} if this instance is not the owner
   */
  public Future<LinkReply> answer(LinkRequest request) {
    if (owner == null) {
      return Future.succeededFuture(LinkReply.NotOwner.notWritten());
    }
    if (request instanceof LinkRequest.Submit submit) {
      return owner.submit(submit.spec(), submit.waitMillis());
    } else if (request instanceof LinkRequest.Inquire inquire) {
      return Future.succeededFuture(owner.inquire(inquire.id(), inquire.customer()));
    } else if (request instanceof LinkRequest.Cancel cancel) {
      return owner.cancel(cancel.id(), cancel.customer());
    } else if (request instanceof LinkRequest.Explain explain) {
      return Future.succeededFuture(owner.explain(explain.id()));
    } else if (request instanceof LinkRequest.Count count) {
      return Future.succeededFuture(owner.countWaiting(count.queue()));
    } else if (request instanceof LinkRequest.FormerOwner ended) {
      owner.formerOwnerEnded(ended.epoch(), ended.roster());
    }
    return Future.succeededFuture(new LinkReply.Noted());
  }

  /**
   * Returns whether this instance is the owner and has a recent proof of it.
   *
   * @return true if no other instance need take over
   */
  public boolean isProvenOwner() {
    return owner != null && owner.isProven(PROOF_VALIDITY_MILLIS);
  }

  /**
   * Returns whether the store has refused or not answered this owner's present append for longer
   * than some time.
   *
   * @param millis the time, in milliseconds
   * @return true if another instance should take over; false if this instance is not the owner
   */
  public boolean isStoreUnavailableFor(long millis) {
    return owner != null && owner.isStoreUnavailableFor(millis);
  }

  /**
   * Takes the cell over without a check whether the owner still writes its journal: its process is
   * known to be gone, or its machine is much weaker. Does nothing if this instance is the owner or
   * tried a short time ago.
   *
   * @param reason the reason, for the log
   */
  public void tryTakeOver(String reason) {
    long now = dependencies.timers().nowMillis();
    if (owner == null && now - lastTakeoverAttemptAt > MIN_TAKEOVER_INTERVAL_MILLIS) {
      lastTakeoverAttemptAt = now;
      takeOver(reason, () -> true, null);
    }
  }

  /**
   * Takes the cell over from an owner that does not respond, unless the owner still writes its
   * journal: in that case this instance is the one that is cut off.
   *
   * @param reason the reason, for the log
   * @param silent returns whether the owner is still silent
   */
  public void tryTakeOverUnlessAlive(String reason, BooleanSupplier silent) {
    long now = dependencies.timers().nowMillis();
    if (owner == null
        && now - lastSuspicionAt > MIN_SUSPICION_INTERVAL_MILLIS
        && silent.getAsBoolean()) {
      lastSuspicionAt = now;
      takeOver(reason, silent, this::awaitSignOfLife);
    }
  }

  private Future<Void> awaitSignOfLife() {
    Promise<Void> elapsed = Promise.promise();
    dependencies.timers().after(LIVENESS_WAIT, elapsed::tryComplete);
    return elapsed.future();
  }

  /**
   * Takes the cell over at the owner's request. The takeover is abandoned if it takes too long,
   * since the owner has asked another instance by then.
   *
   * @return true if this instance is the owner afterwards
   */
  public Future<Boolean> takeOverOnRequest() {
    long deadline = dependencies.timers().nowMillis() + REQUESTED_TAKEOVER_TIMEOUT_MILLIS;
    return takeOver(
        "the owner asked for it", () -> dependencies.timers().nowMillis() <= deadline, null);
  }

  private Future<Boolean> takeOver(
      String reason, BooleanSupplier wanted, Takeover.Delay livenessDelay) {
    if (owner != null) {
      return Future.succeededFuture(true);
    }
    if (takingOver || leaving) {
      return Future.succeededFuture(false);
    }
    takingOver = true;
    Optional<Snapshot> known = journalFollower.snapshot();
    if (known.isEmpty()) {
      // The takeover reads all of the journal, which does not fit into the heap twice.
      journalFollower.stop();
    }
    dependencies
        .log()
        .event(
            PART,
            "taking-over",
            "reason",
            reason,
            "generation",
            generation,
            "standby",
            known.isPresent());
    return new Takeover(
            dependencies.store(),
            dependencies.log(),
            self,
            randomFirstSequence(),
            directory.owner().epoch(),
            wanted,
            livenessDelay,
            known)
        .run()
        .transform(
            (taken, error) -> {
              takingOver = false;
              if (error != null) {
                dependencies.log().event(PART, "takeover-failed", "error", error.getMessage());
                return error instanceof SupersededException newer
                    ? handleSuperseded(newer.owner(), reason, wanted, livenessDelay)
                    : Future.succeededFuture(false);
              }
              if (closed) {
                return Future.succeededFuture(false);
              }
              // An instance that was told to leave during the takeover has fenced its predecessor
              // nevertheless, and the cell would have no owner if this one gave it up. It becomes
              // the owner and hands over in its turn.
              journalFollower.stop();
              owner =
                  new Owner(
                      dependencies,
                      taken,
                      adviceCallBalancer,
                      orderRouter,
                      customers,
                      evacuations,
                      this::endOwnership);
              dependencies.delayMonitor().sampleOften(true);
              onGained.run();
              announceOwner(self.toOwnerRecord(taken.epoch()));
              return Future.succeededFuture(true);
            });
  }

  private Future<Boolean> handleSuperseded(
      OwnerRecord newer, String reason, BooleanSupplier wanted, Takeover.Delay livenessDelay) {
    if (newer.address().equals(self.address())) {
      // An earlier claim of this instance has succeeded, and its answer was lost.
      directory.learn(newer);
      return takeOver(reason, wanted, livenessDelay);
    }
    // The process of the newer owner may have ended between its claim and the announcement.
    // Without an announcement from here each instance would find out by a failed takeover of its
    // own, and the newer owner, once restarted, not at all. The store answers a repeated
    // announcement of one claim as it did the first.
    announceOwner(newer);
    return Future.succeededFuture(false);
  }

  /**
   * Returns a sequence number that is far from that of another candidate and from the end of the
   * range.
   */
  private static long randomFirstSequence() {
    return ThreadLocalRandom.current().nextLong(1, Integer.MAX_VALUE);
  }

  /**
   * Ends this ownership if another instance or the store has announced a newer owner.
   *
   * @param newer the announced owner
   */
  public void observeOwner(OwnerRecord newer) {
    if (owner != null && newer.epoch() > owner.epoch()) {
      endOwnership("epoch " + newer.epoch() + " has been announced");
    }
  }

  /**
   * Leaves the group and completes the appends in flight, since the process ends.
   *
   * @return completes when another instance may take over
   */
  public Future<Void> leave() {
    leaving = true;
    dependencies
        .store()
        .leave(JournalKeys.GROUP, memberName)
        .onFailure(
            error -> dependencies.log().event(PART, "leave-failed", "error", error.getMessage()));
    if (owner == null) {
      return Future.succeededFuture();
    }
    Promise<Void> written = Promise.promise();
    owner.whenWritten(written::tryComplete);
    dependencies.timers().after(LEAVE_FLUSH_TIMEOUT, written::tryComplete);
    return written.future();
  }

  /**
   * Returns whether this instance neither owns the cell nor is taking it over.
   *
   * @return true if the process may end without harm to callers
   */
  public boolean isSafeToShutDown() {
    return owner == null && !takingOver;
  }

  /**
   * Appends and starts nothing for some time, while a successor claims the cell.
   *
   * @param appendsPauseMillis how long nothing is appended, in milliseconds
   * @param startsPauseMillis how long nothing is started, in milliseconds
   */
  public void pauseWriting(long appendsPauseMillis, long startsPauseMillis) {
    if (owner != null) {
      owner.suspendWriting(appendsPauseMillis, startsPauseMillis);
    }
  }

  /**
   * Resumes the appends, which show whether a successor has claimed the cell. No run is started
   * before that is known.
   *
   * @param startsPauseMillis how long nothing is started, in milliseconds; 0 if the cell is known
   *     not to be taken
   */
  public void resumeWriting(long startsPauseMillis) {
    if (owner != null) {
      owner.resumeWriting(startsPauseMillis);
    }
  }

  /** Ends this ownership, since a successor has confirmed that it has taken over. */
  public void completeHandover() {
    endOwnership("handed over");
  }

  /** Ends this ownership for good, since the process is about to exit. */
  public void shutDown() {
    closed = true;
    endOwnership("shutdown");
  }

  private void handleMembership(GroupMembership membership) {
    joining = false;
    generation = membership.generation();
    if (membership.partitions().contains(JournalKeys.PARTITION) && owner == null && !leaving) {
      int checkedEpoch = directory.owner().epoch();
      long checkedAt = dependencies.timers().nowMillis();
      ownerCheck
          .hasProvenOwner()
          .onSuccess(
              alive -> {
                // Another instance may have taken over while the lost owner was asked.
                if (!alive && directory.owner().epoch() == checkedEpoch) {
                  // The journal may take seconds to read, and an owner that was behind may
                  // have caught up by then.
                  takeOver(
                      "the group named this instance, and no owner proves itself",
                      () -> !ownerProvenSince.test(checkedAt),
                      null);
                }
              });
    }
  }

  private void announceOwner(OwnerRecord present) {
    directory.learn(present);
    Append announcement =
        new Append(
            JournalKeys.DIRECTORY_TOPIC,
            JournalKeys.PARTITION,
            List.of(new KeyedRecord(JournalKeys.DIRECTORY_KEY, present.encode())),
            OptionalLong.empty(),
            JournalKeys.PRODUCER,
            present.epoch(),
            1);
    dependencies
        .store()
        .append(announcement)
        .onFailure(
            error -> {
              if (owner != null && owner.epoch() == present.epoch()) {
                dependencies.timers().after(ANNOUNCE_RETRY_DELAY, () -> announceOwner(present));
              }
            });
  }

  /**
   * Tells the present owner what may still run on the workers from this instance's former
   * ownership. An instance may be announced as the owner a moment before it can take the message,
   * so the message is repeated until then.
   *
   * @param successorEpoch the epoch of the present owner
   * @param successor sends a request to the present owner; its future fails once the owner cannot
   *     be reached any more
   */
  public void notifySuccessor(
      int successorEpoch, Function<LinkRequest, Future<LinkReply>> successor) {
    FormerOwnership reported = formerOwnership;
    if (reported == null || reported.epoch() >= successorEpoch) {
      return;
    }
    successor
        .apply(reported.toMessage(dependencies.timers().nowMillis()))
        .onSuccess(
            reply -> {
              if (formerOwnership != reported) {
                return;
              }
              if (reply instanceof LinkReply.NotOwner) {
                dependencies
                    .timers()
                    .after(NOTIFY_RETRY_DELAY, () -> notifySuccessor(successorEpoch, successor));
              } else {
                formerOwnership = null;
              }
            });
  }

  private void endOwnership(String reason) {
    if (owner != null) {
      Owner endedOwner = owner;
      // The callbacks below must already find that this instance is not the owner.
      owner = null;
      onLost.run();
      endedOwner.end(reason);
      dependencies.delayMonitor().sampleOften(false);
      orderRouter.forgetAll();
      formerOwnership =
          new FormerOwnership(
              endedOwner.epoch(), endedOwner.finalRoster(), dependencies.timers().nowMillis());
    }
  }
}
