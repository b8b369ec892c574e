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
import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.Membership;

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
  private static final int SIGNS_A_LIFETIME = 4;

  private static final Duration ANNOUNCE_RETRY = Duration.ofMillis(150);

  private static final Duration TELL_AGAIN = Duration.ofMillis(100);

  /** An owner that has proved itself within this time is left alone. */
  private static final long PROOF_MILLIS = 1_600;

  /**
   * An instance steps in by itself at most so often: where two sides of a cut refuse each other's
   * connections, the cell would otherwise go back and forth all the time.
   */
  private static final long STEP_IN_MILLIS = 5_000;

  /**
   * A suspicion is followed up at most so often. An instance that is cut off from the owner asks
   * the store again and again, and finds the owner at work each time.
   */
  private static final long SUSPECT_MILLIS = 700;

  /**
   * A weak machine joins the group only when no owner has answered for so long: the stronger ones
   * have had their chance by then, and the lifetime of a lost member is over.
   */
  private static final long WEAK_PATIENCE_MILLIS = 3_000;

  /** How often an instance compares its machine with the owner's; instances differ a little. */
  private static final int COMPARE_MILLIS = 1_000;

  private static final int COMPARE_SPREAD_MILLIS = 500;

  /**
   * A suspected owner that lives writes within this time: while callers wait it appends some 50
   * times a second.
   */
  private static final Duration SIGN_OF_LIFE = Duration.ofMillis(150);

  /** An owner that asked for a takeover turns to another instance after some more than this. */
  private static final long ASKED_MILLIS = 700;

  /** What is under way is written within some 20 ms, unless the store is away. */
  private static final Duration LEAVE_PATIENCE = Duration.ofMillis(300);

  private final Instruments instruments;
  private final String member;
  private final Candidate self;
  private final long lifetimeMillis;
  private final Directory directory;
  private final AdviceDesk advice;
  private OwnerCheck ownerCheck;
  private LongSupplier silentMillis = () -> 0;
  private Optional<Collection<CustomerLimits>> customers = Optional.empty();
  private Owner owner;

  /** The last ownership of this process, until the successor knows what it left on the workers. */
  private FormerOwnership former;

  private long generation;
  private boolean takingOver;
  private long steppedInAt = -STEP_IN_MILLIS;
  private long suspectedAt = -SUSPECT_MILLIS;
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
      Instruments instruments,
      String member,
      Candidate self,
      long lifetimeMillis,
      Directory directory) {
    this.instruments = instruments;
    this.advice = new AdviceDesk(instruments.timers());
    this.member = member;
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
    Future<Boolean> test();
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
    instruments.timers().every(Duration.ofMillis(lifetimeMillis / SIGNS_A_LIFETIME), this::joinNow);
    int spread = Math.floorMod(member.hashCode(), COMPARE_SPREAD_MILLIS);
    instruments.timers().every(Duration.ofMillis(COMPARE_MILLIS + spread), this::compare);
    joinNow();
  }

  /** A machine that is far stronger than the owner's takes over, whatever made that one owner. */
  private void compare() {
    OwnerRecord present = directory.owner();
    if (!leaving && self.strength().farAbove(present.strength())) {
      stepIn("the owner's machine is weaker");
    }
  }

  private boolean tooWeakToJoin() {
    return directory.owner().strength().farAbove(self.strength())
        && directory.owner().epoch() > 0
        && silentMillis.getAsLong() < WEAK_PATIENCE_MILLIS;
  }

  private void joinNow() {
    if (leaving || joining || tooWeakToJoin()) {
      return;
    }
    joining = true;
    instruments
        .store()
        .join(JournalKeys.GROUP, member, JournalKeys.TOPIC, lifetimeMillis, generation)
        .onComplete(
            this::joined,
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
  public void configure(Collection<CustomerLimits> newer) {
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
  public boolean owns() {
    return owner != null;
  }

  /**
   * Adds an instance that can ask the advisor.
   *
   * @param address the instance's address, by which all owners order the instances alike
   * @param asker asks through that instance
   * @return what to run when the instance is gone
   */
  public Runnable addAsker(String address, Asker asker) {
    AdviceDesk.Helper helper = advice.add(address, asker);
    return () -> advice.remove(helper);
  }

  /** An instance that can ask the advisor. */
  @FunctionalInterface
  public interface Asker {

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
      return Future.succeededFuture(owner.count(count.queue()));
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
  public boolean proven() {
    return owner != null && owner.proven(PROOF_MILLIS);
  }

  /**
   * Tells whether the store has refused this owner's writes for some time.
   *
   * @param millis the time, in milliseconds
   * @return true if another instance should try
   */
  public boolean refusedFor(long millis) {
    return owner != null && owner.storeUnavailableFor(millis);
  }

  /**
   * Steps in, since the owner's process is known to be gone.
   *
   * @param reason why, for the log
   */
  public void stepIn(String reason) {
    long now = instruments.timers().nowMillis();
    if (owner == null && now - steppedInAt > STEP_IN_MILLIS) {
      steppedInAt = now;
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
  public void stepInUnlessAlive(String reason, BooleanSupplier silent) {
    long now = instruments.timers().nowMillis();
    if (owner == null && now - suspectedAt > SUSPECT_MILLIS && silent.getAsBoolean()) {
      suspectedAt = now;
      takeOver(reason, silent, this::awaitSign);
    }
  }

  private Future<Void> awaitSign() {
    Promise<Void> over = Promise.promise();
    instruments.timers().after(SIGN_OF_LIFE, over::tryComplete);
    return over.future();
  }

  /**
   * Takes the cell over for an owner that asks for it, unless that takes too long: the owner has
   * asked another instance by then.
   *
   * @return true if this instance is the owner afterwards
   */
  public Future<Boolean> takeOverAsAsked() {
    long until = instruments.timers().nowMillis() + ASKED_MILLIS;
    return takeOver(
        "the owner asked for it", () -> instruments.timers().nowMillis() <= until, null);
  }

  private Future<Boolean> takeOver(
      String reason, BooleanSupplier wanted, Takeover.Pause signOfLife) {
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
            firstSequence(),
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
                    ? superseded(newer.owner(), reason, wanted, signOfLife)
                    : Future.succeededFuture(false);
              }
              if (closed) {
                return Future.succeededFuture(false);
              }
              // One that was told to leave meanwhile has fenced its predecessor all the same: a
              // cell whose owner dropped it has none. It hands over in its turn.
              owner = new Owner(instruments, taken, advice, customers, this::lost);
              announce(self.ownerOf(taken.epoch()));
              return Future.succeededFuture(true);
            });
  }

  private Future<Boolean> superseded(
      OwnerRecord newer, String reason, BooleanSupplier wanted, Takeover.Pause signOfLife) {
    if (newer.address().equals(self.address())) {
      // A claim of this instance has succeeded while its answer was lost.
      directory.learn(newer);
      return takeOver(reason, wanted, signOfLife);
    }
    // Its process may have ended between the claim and the announcement. Then each instance would
    // find out by a failed takeover of its own, and the named one, once back, not at all. A second
    // announcement of one claim is answered like the first.
    announce(newer);
    return Future.succeededFuture(false);
  }

  /** Far apart for two candidates, and far from the end of the range. */
  private static long firstSequence() {
    return ThreadLocalRandom.current().nextLong(1, Integer.MAX_VALUE);
  }

  /**
   * Takes notice of an owner that another instance or the store has named.
   *
   * @param newer the owner
   */
  public void learnt(OwnerRecord newer) {
    if (owner != null && newer.epoch() > owner.epoch()) {
      lost("epoch " + newer.epoch() + " has been announced");
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
        .leave(JournalKeys.GROUP, member)
        .onFailure(
            error -> instruments.log().event(PART, "leave-failed", "error", error.getMessage()));
    if (owner == null) {
      return Future.succeededFuture();
    }
    Promise<Void> written = Promise.promise();
    owner.whenWritten(written::tryComplete);
    instruments.timers().after(LEAVE_PATIENCE, written::tryComplete);
    return written.future();
  }

  /**
   * Tells whether this instance neither owns the cell nor is about to.
   *
   * @return true if it may end without harm to callers
   */
  public boolean settled() {
    return owner == null && !takingOver;
  }

  /**
   * Writes and starts nothing for some time, while a successor claims the cell.
   *
   * @param millis the time, in milliseconds
   */
  public void rest(long millis) {
    if (owner != null) {
      owner.rest(millis);
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
  public void handedOver() {
    lost("handed over");
  }

  /** Stops deciding for good, since the process is over in a moment. */
  public void abdicate() {
    closed = true;
    lost("shutdown");
  }

  private void joined(Membership membership) {
    joining = false;
    generation = membership.generation();
    if (membership.partitions().contains(JournalKeys.PARTITION) && owner == null && !leaving) {
      int judged = directory.owner().epoch();
      ownerCheck
          .test()
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

  private void announce(OwnerRecord present) {
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
                instruments.timers().after(ANNOUNCE_RETRY, () -> announce(present));
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
  public void tellSuccessor(
      int successorEpoch, Function<LinkRequest, Future<LinkReply>> successor) {
    FormerOwnership told = former;
    if (told == null || told.epoch() >= successorEpoch) {
      return;
    }
    successor
        .apply(told.message(instruments.timers().nowMillis()))
        .onSuccess(
            reply -> {
              if (former != told) {
                return;
              }
              if (reply instanceof LinkReply.NotOwner) {
                instruments
                    .timers()
                    .after(TELL_AGAIN, () -> tellSuccessor(successorEpoch, successor));
              } else {
                former = null;
              }
            });
  }

  private void lost(String reason) {
    if (owner != null) {
      Owner ending = owner;
      // Whom the end tells that this is not the owner has to find it so.
      owner = null;
      onLost.run();
      ending.end(reason);
      former =
          new FormerOwnership(
              ending.epoch(), ending.finalRoster(), instruments.timers().nowMillis());
    }
  }
}
