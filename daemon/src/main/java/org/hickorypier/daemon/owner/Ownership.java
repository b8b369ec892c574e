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
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.CustomerTerms;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.GroupMembership;
import org.hickorypier.platform.store.KeyedRecord;

/**
 * Decides whether this instance owns the cell.
 *
 * <p>The journal's epoch alone makes an owner, and any instance may take the cell over. Who does so
 * is a matter of speed and quiet: the owner hands over when it leaves or when the store refuses it;
 * an instance whose owner refuses connections steps in; otherwise the store's group, which notices
 * silent members, names a candidate. The candidate leaves an owner alone that can prove itself, so
 * that a group that deals everything anew costs nothing.
 *
 * <p>Belongs to the control thread.
 */
public final class Ownership {

  private static final String PART = "ownership";

  /** Signs a lifetime of the group's members: two may be lost. */
  private static final int HEARTBEATS_PER_LIFETIME = 4;

  private static final Duration ANNOUNCE_RETRY_DELAY = Duration.ofMillis(150);

  private static final Duration NOTIFY_RETRY_DELAY = Duration.ofMillis(100);

  /** An owner that has proved itself within this time is left alone. */
  private static final long PROOF_VALIDITY_MILLIS = 1_600;

  /**
   * An instance steps in by itself at most so often: where two sides of a cut refuse each other's
   * connections, the cell would otherwise go back and forth all the time.
   */
  private static final long MIN_TAKEOVER_INTERVAL_MILLIS = 5_000;

  /**
   * A suspicion is followed up at most so often. An instance that is cut off from the owner asks
   * the store again and again, and finds the owner at work each time.
   */
  private static final long MIN_SUSPICION_INTERVAL_MILLIS = 700;

  /**
   * A weak machine joins the group only when no owner has answered for so long: the stronger ones
   * have had their chance by then, and the lifetime of a lost member is over.
   */
  private static final long WEAK_JOIN_DELAY_MILLIS = 3_000;

  /** How often an instance compares its machine with the owner's; instances differ a little. */
  private static final int COMPARE_PERIOD_MILLIS = 1_000;

  private static final int COMPARE_JITTER_MILLIS = 500;

  /**
   * A suspected owner that lives writes within this time: while callers wait it appends some 50
   * times a second.
   */
  private static final Duration LIVENESS_WAIT = Duration.ofMillis(150);

  /** An owner that asked for a takeover turns to another instance after some more than this. */
  private static final long REQUESTED_TAKEOVER_TIMEOUT_MILLIS = 700;

  /** What is under way is written within some 20 ms, unless the store is away. */
  private static final Duration LEAVE_FLUSH_TIMEOUT = Duration.ofMillis(300);

  private final OwnerDependencies instruments;
  private final String memberName;
  private final Candidate self;
  private final long lifetimeMillis;
  private final OwnerDirectory directory;
  private final AdviceCallBalancer advice;
  private OwnerCheck ownerCheck;
  private LongSupplier silentMillis = () -> 0;
  private Optional<Collection<CustomerTerms>> customers = Optional.empty();
  private Owner owner;

  /** The last ownership of this process, until the successor knows what it left on the workers. */
  private FormerOwnership formerOwnership;

  private long generation;
  private boolean takingOver;
  private long lastTakeoverAttemptAt = -MIN_TAKEOVER_INTERVAL_MILLIS;
  private long lastSuspicionAt = -MIN_SUSPICION_INTERVAL_MILLIS;
  private boolean leaving;
  private boolean closed;
  private boolean joining;
  private Runnable onLost = () -> {};

  /**
   * Creates the follower.
   *
   * @param instruments what the parts work with
   * @param member this instance's name in the group
   * @param self this instance and what its machine can carry
   * @param lifetimeMillis the lifetime of a member without a sign, in milliseconds
   * @param directory learns of a new owner
   */
  public Ownership(
      OwnerDependencies instruments,
      String member,
      Candidate self,
      long lifetimeMillis,
      OwnerDirectory directory) {
    this.instruments = instruments;
    this.advice = new AdviceCallBalancer(instruments.timers());
    this.memberName = member;
    this.self = self;
    this.lifetimeMillis = lifetimeMillis;
    this.directory = directory;
  }

  /** Asks the present owner, wherever it is, to prove itself. */
  @FunctionalInterface
  public interface OwnerCheck {

    /**
     * Asks.
     *
     * @return true if there is an owner that need not be replaced
     */
    Future<Boolean> hasProvenOwner();
  }

  /**
   * Joins the group and stays in it.
   *
   * @param check asks the present owner
   * @param ownerSilentMillis tells for how long no owner has answered, in milliseconds
   */
  public void start(OwnerCheck check, LongSupplier ownerSilentMillis) {
    ownerCheck = check;
    silentMillis = ownerSilentMillis;
    instruments
        .timers()
        .every(Duration.ofMillis(lifetimeMillis / HEARTBEATS_PER_LIFETIME), this::joinGroup);
    int spread = Math.floorMod(memberName.hashCode(), COMPARE_JITTER_MILLIS);
    instruments
        .timers()
        .every(Duration.ofMillis(COMPARE_PERIOD_MILLIS + spread), this::compareWithOwner);
    joinGroup();
  }

  /** A machine that is far stronger than the owner's takes over, whatever made that one owner. */
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
    instruments
        .store()
        .join(JournalKeys.GROUP, memberName, JournalKeys.TOPIC, lifetimeMillis, generation)
        .onComplete(
            this::handleMembership,
            error -> {
              // The store tells nothing; the journal's epoch, not the group, protects the workers.
              joining = false;
            });
  }

  /**
   * Takes the customers of a configuration.
   *
   * @param newer all customers
   */
  public void configure(Collection<CustomerTerms> newer) {
    customers = Optional.of(newer);
    if (owner != null) {
      owner.configure(newer);
    }
  }

  /**
   * Runs something whenever this instance is the owner no longer.
   *
   * @param action what to run, on the control thread
   */
  public void onLost(Runnable action) {
    onLost = action;
  }

  /**
   * Tells whether this instance is the owner.
   *
   * @return true from takeover to the end
   */
  public boolean isOwner() {
    return owner != null;
  }

  /**
   * Adds an instance that can ask the advisor.
   *
   * @param address the instance's address, by which all owners order the instances alike
   * @param asker asks through that instance
   * @return what to run when the instance is gone
   */
  public Runnable addAdvisorClient(String address, AdvisorClient asker) {
    AdviceCallBalancer.Instance helper = advice.add(address, asker);
    return () -> advice.remove(helper);
  }

  /** An instance that can ask the advisor. */
  @FunctionalInterface
  public interface AdvisorClient {

    /**
     * Asks.
     *
     * @param request the question
     * @param timeoutMillis how long the reply may take, in milliseconds
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
      return Future.succeededFuture(new LinkReply.NotOwner());
    }
    if (request instanceof LinkRequest.Submit submit) {
      return owner.submit(submit.spec());
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
   * Tells whether this instance is the owner and has proved it a short time ago.
   *
   * @return true if no other instance need take over
   */
  public boolean isProvenOwner() {
    return owner != null && owner.isProven(PROOF_VALIDITY_MILLIS);
  }

  /**
   * Tells whether the store has refused this owner's writes for some time.
   *
   * @param millis the time, in milliseconds
   * @return true if another instance should try
   */
  public boolean isStoreUnavailableFor(long millis) {
    return owner != null && owner.isStoreUnavailableFor(millis);
  }

  /**
   * Steps in, since the owner's process is known to be gone.
   *
   * @param reason why, for the log
   */
  public void tryTakeOver(String reason) {
    long now = instruments.timers().nowMillis();
    if (owner == null && now - lastTakeoverAttemptAt > MIN_TAKEOVER_INTERVAL_MILLIS) {
      lastTakeoverAttemptAt = now;
      takeOver(reason, () -> true, null);
    }
  }

  /**
   * Steps in for an owner that answers nothing, unless it still writes its journal: then it is this
   * instance that is cut off.
   *
   * @param reason why, for the log
   * @param silent tells whether the owner is still silent
   */
  public void tryTakeOverUnlessAlive(String reason, BooleanSupplier silent) {
    long now = instruments.timers().nowMillis();
    if (owner == null
        && now - lastSuspicionAt > MIN_SUSPICION_INTERVAL_MILLIS
        && silent.getAsBoolean()) {
      lastSuspicionAt = now;
      takeOver(reason, silent, this::awaitSignOfLife);
    }
  }

  private Future<Void> awaitSignOfLife() {
    Promise<Void> over = Promise.promise();
    instruments.timers().after(LIVENESS_WAIT, over::tryComplete);
    return over.future();
  }

  /**
   * Takes the cell over for an owner that asks for it, unless that takes too long: the owner has
   * asked another instance by then.
   *
   * @return true if this instance is the owner afterwards
   */
  public Future<Boolean> takeOverOnRequest() {
    long until = instruments.timers().nowMillis() + REQUESTED_TAKEOVER_TIMEOUT_MILLIS;
    return takeOver(
        "the owner asked for it", () -> instruments.timers().nowMillis() <= until, null);
  }

  private Future<Boolean> takeOver(
      String reason, BooleanSupplier wanted, Takeover.Delay signOfLife) {
    if (owner != null) {
      return Future.succeededFuture(true);
    }
    if (takingOver || leaving) {
      return Future.succeededFuture(false);
    }
    takingOver = true;
    instruments.log().event(PART, "taking-over", "reason", reason, "generation", generation);
    return new Takeover(
            instruments.store(),
            instruments.log(),
            self,
            randomFirstSequence(),
            directory.owner().epoch(),
            wanted,
            signOfLife)
        .run()
        .transform(
            (taken, error) -> {
              takingOver = false;
              if (error != null) {
                instruments.log().event(PART, "takeover-failed", "error", error.getMessage());
                return error instanceof SupersededException newer
                    ? handleSuperseded(newer.owner(), reason, wanted, signOfLife)
                    : Future.succeededFuture(false);
              }
              if (closed) {
                return Future.succeededFuture(false);
              }
              // One that was told to leave meanwhile has fenced its predecessor all the same: a
              // cell whose owner dropped it has none. It hands over in its turn.
              owner = new Owner(instruments, taken, advice, customers, this::endOwnership);
              announceOwner(self.toOwnerRecord(taken.epoch()));
              return Future.succeededFuture(true);
            });
  }

  private Future<Boolean> handleSuperseded(
      OwnerRecord newer, String reason, BooleanSupplier wanted, Takeover.Delay signOfLife) {
    if (newer.address().equals(self.address())) {
      // A claim of this instance has succeeded while its answer was lost.
      directory.learn(newer);
      return takeOver(reason, wanted, signOfLife);
    }
    // Its process may have ended between the claim and the announcement. Then each instance would
    // find out by a failed takeover of its own, and the named one, once back, not at all. A second
    // announcement of one claim is answered like the first.
    announceOwner(newer);
    return Future.succeededFuture(false);
  }

  /** Far apart for two candidates, and far from the end of the range. */
  private static long randomFirstSequence() {
    return ThreadLocalRandom.current().nextLong(1, Integer.MAX_VALUE);
  }

  /**
   * Takes notice of an owner that another instance or the store has named.
   *
   * @param newer the owner
   */
  public void observeOwner(OwnerRecord newer) {
    if (owner != null && newer.epoch() > owner.epoch()) {
      endOwnership("epoch " + newer.epoch() + " has been announced");
    }
  }

  /**
   * Ends the part in the group and writes what is under way, since the process ends.
   *
   * @return done when another instance may take over
   */
  public Future<Void> leave() {
    leaving = true;
    instruments
        .store()
        .leave(JournalKeys.GROUP, memberName)
        .onFailure(
            error -> instruments.log().event(PART, "leave-failed", "error", error.getMessage()));
    if (owner == null) {
      return Future.succeededFuture();
    }
    Promise<Void> written = Promise.promise();
    owner.whenWritten(written::tryComplete);
    instruments.timers().after(LEAVE_FLUSH_TIMEOUT, written::tryComplete);
    return written.future();
  }

  /**
   * Tells whether this instance neither owns the cell nor is about to.
   *
   * @return true if it may end without harm to callers
   */
  public boolean isSafeToShutDown() {
    return owner == null && !takingOver;
  }

  /**
   * Writes and starts nothing for some time, while a successor claims the cell.
   *
   * @param millis the time, in milliseconds
   */
  public void pauseWriting(long millis) {
    if (owner != null) {
      owner.suspendWriting(millis);
    }
  }

  /**
   * Goes on writing, which tells whether a successor has the cell, and starts nothing before that.
   *
   * @param startsRestMillis how long nothing is started, in milliseconds; 0 if the cell is known
   *     not to be taken
   */
  public void resumeWriting(long startsRestMillis) {
    if (owner != null) {
      owner.resumeWriting(startsRestMillis);
    }
  }

  /** Stops deciding, since a successor has said that it has taken over. */
  public void completeHandover() {
    endOwnership("handed over");
  }

  /** Stops deciding for good, since the process is over in a moment. */
  public void shutDown() {
    closed = true;
    endOwnership("shutdown");
  }

  private void handleMembership(GroupMembership membership) {
    joining = false;
    generation = membership.generation();
    if (membership.partitions().contains(JournalKeys.PARTITION) && owner == null && !leaving) {
      int judged = directory.owner().epoch();
      ownerCheck
          .hasProvenOwner()
          .onSuccess(
              alive -> {
                // Another instance may have stepped in while the lost owner was asked.
                if (!alive && directory.owner().epoch() == judged) {
                  takeOver(
                      "the group named this instance, and no owner proves itself",
                      () -> true,
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
    instruments
        .store()
        .append(announcement)
        .onFailure(
            error -> {
              if (owner != null && owner.epoch() == present.epoch()) {
                instruments.timers().after(ANNOUNCE_RETRY_DELAY, () -> announceOwner(present));
              }
            });
  }

  /**
   * Tells the present owner what this instance left on the workers when it ceased to be the owner.
   * An instance may be announced as the owner a moment before it is ready to be told.
   *
   * @param successorEpoch the epoch of the present owner
   * @param successor asks the present owner; its future fails once it cannot be asked any more
   */
  public void notifySuccessor(
      int successorEpoch, Function<LinkRequest, Future<LinkReply>> successor) {
    FormerOwnership told = formerOwnership;
    if (told == null || told.epoch() >= successorEpoch) {
      return;
    }
    successor
        .apply(told.toMessage(instruments.timers().nowMillis()))
        .onSuccess(
            reply -> {
              if (formerOwnership != told) {
                return;
              }
              if (reply instanceof LinkReply.NotOwner) {
                instruments
                    .timers()
                    .after(NOTIFY_RETRY_DELAY, () -> notifySuccessor(successorEpoch, successor));
              } else {
                formerOwnership = null;
              }
            });
  }

  private void endOwnership(String reason) {
    if (owner != null) {
      Owner ending = owner;
      // Whom the end tells that this is not the owner has to find it so.
      owner = null;
      onLost.run();
      ending.end(reason);
      formerOwnership =
          new FormerOwnership(
              ending.epoch(), ending.finalRoster(), instruments.timers().nowMillis());
    }
  }
}
