package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.core.cell.RetryAfter;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.cell.SubmissionStatus;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.core.cell.WorkerView;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.time.TimerSubscription;

/**
 * This instance as the owner of the cell, from takeover to its end.
 *
 * <p>Invariant: after {@link #end} nothing is ordered, written or acknowledged any more. Belongs to
 * the control thread.
 */
final class Owner {

  private static final String PART = "owner";

  /** Events that come within this time are placed in one pass. */
  private static final Duration PASS_DELAY = Duration.ofMillis(4);

  private static final Duration TICK = Duration.ofMillis(100);

  /**
   * Submissions that wait at most. Each takes some 2 KB here; beyond this the oldest wait longer
   * than any caller's objective.
   */
  private static final int MOST_WAITING = 20_000;

  /** A full queue shrinks by some thousand submissions in this time. */
  private static final long COME_BACK_MILLIS = 2_000;

  /** A takeover is over within this time if any instance reaches the store. */
  private static final long HANDOVER_MILLIS = 2_200;

  /** Younger than the 3 s after which an accepted submission must be known everywhere. */
  private static final long KNOWN_MILLIS = 2_000;

  private final Instruments instruments;
  private final int epoch;
  private final int predecessorEpoch;
  private final Cell cell;
  private final JournalWriter journal;
  private final WorkerList workerList;
  private final Consumer<String> lost;
  private final Map<String, Renewals> renewals = new HashMap<>();
  private final Map<Submission, List<Promise<LinkReply>>> acceptances = new HashMap<>();

  /** Cancellations that wait for the journal. */
  private final List<Promise<LinkReply>> endings = new ArrayList<>();

  private final Answers answers = new Answers();
  private final TimerSubscription ticks;
  private boolean passScheduled;
  private boolean ended;
  private long startsRestUntil;

  Owner(
      Instruments instruments,
      Takeover.Taken taken,
      AdviceDesk advice,
      Optional<Collection<CustomerLimits>> customers,
      Consumer<String> lost) {
    this.instruments = instruments;
    this.epoch = taken.epoch();
    this.lost = lost;
    long now = instruments.timers().nowMillis();
    OrderSender orders = new OrderSender(instruments, taken.epoch(), advice, answers);
    this.cell = new Cell(instruments.terms(), orders, instruments.log(), taken.epoch(), now);
    this.journal =
        new JournalWriter(
            instruments.store(),
            instruments.timers(),
            instruments.pauses(),
            instruments.log(),
            taken.epoch(),
            taken.sequence(),
            new Written());
    this.workerList = new WorkerList(instruments, this::listed);
    orders.connect(cell, journal);
    customers.ifPresent(cell::configure);
    Estate estate = new Estate(taken.values(), instruments.log());
    this.predecessorEpoch = estate.owner().epoch();
    long wall = instruments.wall().getAsLong();
    int restored = estate.restore(cell, now, wall);
    cell.restoreRoster(estate.roster());
    instruments
        .log()
        .event(
            PART,
            "owner-gained",
            "epoch",
            epoch,
            "submissions",
            restored,
            "roster",
            estate.roster().size());
    workerList.start();
    renewAll();
    this.ticks = instruments.timers().every(TICK, this::tick);
  }

  int epoch() {
    return epoch;
  }

  void configure(Collection<CustomerLimits> customers) {
    cell.configure(customers);
    requestPass();
  }

  /** Tells whether no successor can have taken over more than some time ago. */
  boolean proven(long withinMillis) {
    return !ended && journal.proven(withinMillis);
  }

  /** Tells whether the store has taken no append for some time. */
  boolean storeUnavailableFor(long millis) {
    return journal.unavailableMillis() > millis;
  }

  Future<LinkReply> submit(SubmissionSpec spec) {
    SubmissionStatus known = cell.status(spec.id());
    if (known != null && known.durable()) {
      return Future.succeededFuture(new LinkReply.Accepted());
    }
    if (known == null && cell.size() >= MOST_WAITING) {
      return refused(spec, "the queue is full", COME_BACK_MILLIS);
    }
    if (known == null && journal.unavailableMillis() > HANDOVER_MILLIS) {
      // No other instance has taken over, so the store is away for all: the caller is better off
      // knowing at once. Before that its request waits, since a successor takes it in a moment.
      return refused(spec, "the store is unavailable", RetryAfter.delayMillis(spec));
    }
    Submission submission = cell.accept(spec, now());
    requestPass();
    Promise<LinkReply> promise = Promise.promise();
    acceptances.computeIfAbsent(submission, key -> new ArrayList<>()).add(promise);
    return promise.future();
  }

  private Future<LinkReply> refused(SubmissionSpec spec, String reason, long comeBackMillis) {
    instruments
        .log()
        .event(
            PART,
            "refused",
            "id",
            spec.id(),
            "customer",
            spec.customer(),
            "queue",
            spec.queue().name(),
            "reason",
            reason,
            "open",
            cell.size(),
            "store_away_ms",
            journal.unavailableMillis(),
            "retry_after_ms",
            comeBackMillis);
    return Future.succeededFuture(new LinkReply.Refused(reason, comeBackMillis));
  }

  LinkReply inquire(String id, String customer) {
    SubmissionStatus status = visible(id, customer);
    if (status != null) {
      return new LinkReply.State(status.state());
    }
    return knowsAll() ? new LinkReply.NotKnown() : new LinkReply.NotOwner();
  }

  Future<LinkReply> cancel(String id, String customer) {
    if (visible(id, customer) == null) {
      return Future.succeededFuture(
          knowsAll() ? new LinkReply.NotKnown() : new LinkReply.NotOwner());
    }
    Submission submission = cell.find(id);
    if (submission != null) {
      cell.cancel(submission, now());
    }
    Promise<LinkReply> promise = Promise.promise();
    journal.afterSave(() -> promise.tryComplete(new LinkReply.State(cell.status(id).state())));
    endings.add(promise);
    promise.future().onComplete(done -> endings.remove(promise));
    return promise.future();
  }

  /**
   * Tells whether this owner knows all that was accepted more than a short time ago.
   *
   * <p>Failure: an owner that was paused or cut off answers callers beside its successor. Symptom:
   * a submission that the successor accepted is said not to exist. Safeguard: what is not known is
   * told only with a proof that no successor was there a short time ago. It is enough because
   * callers may be told so for 3 s after the acknowledgement.
   */
  private boolean knowsAll() {
    return journal.proven(KNOWN_MILLIS);
  }

  LinkReply explain(String id) {
    return new LinkReply.Lines(cell.explain(id, now()));
  }

  LinkReply count(String queue) {
    return knowsAll() ? new LinkReply.Number(cell.countWaiting(queue)) : new LinkReply.NotOwner();
  }

  private SubmissionStatus visible(String id, String customer) {
    SubmissionStatus status = cell.status(id);
    boolean visible = status != null && status.durable() && status.customer().equals(customer);
    return visible ? status : null;
  }

  /** Ends ownership: callers that wait are told to ask the next owner. */
  void end(String reason) {
    if (ended) {
      return;
    }
    ended = true;
    instruments
        .log()
        .event(
            PART, "owner-lost", "epoch", epoch, "reason", reason, "unanswered", acceptances.size());
    ticks.cancel();
    journal.stop();
    workerList.stop();
    renewals.values().forEach(Renewals::stop);
    acceptances
        .values()
        .forEach(promises -> promises.forEach(next -> next.tryComplete(new LinkReply.NotOwner())));
    acceptances.clear();
    List.copyOf(endings).forEach(next -> next.tryComplete(new LinkReply.NotOwner()));
  }

  /** Returns what may still run on the workers, once this owner has ended. */
  List<RosterEntry> finalRoster() {
    return cell.finalRoster(now());
  }

  /**
   * Takes the final roster of a former owner. That of an earlier one than the predecessor does not
   * tell what its successors ordered.
   */
  void formerOwnerEnded(int formerEpoch, List<RosterEntry> roster) {
    boolean predecessor = formerEpoch == predecessorEpoch;
    instruments
        .log()
        .event(
            PART,
            "former-owner-ended",
            "epoch",
            formerEpoch,
            "predecessor",
            predecessor,
            "workers",
            roster.size());
    if (predecessor) {
      cell.formerOwnerEnded(roster, now());
      requestPass();
    }
  }

  /** Writes and starts nothing for some milliseconds, while a successor claims the cell. */
  void rest(long millis) {
    journal.rest(millis);
    startsRestUntil = now() + millis;
  }

  /** Goes on writing, but starts nothing for some milliseconds: a successor may have the cell. */
  void resumeWriting(long startsRestMillis) {
    journal.resume();
    startsRestUntil = now() + startsRestMillis;
  }

  /** Runs something once all that is under way is written. */
  void whenWritten(Runnable action) {
    journal.afterSave(action);
  }

  private long now() {
    return instruments.timers().nowMillis();
  }

  private boolean mayOrder() {
    return !ended && journal.proven(instruments.terms().ownershipProofMillis());
  }

  private void listed(Map<String, WorkerEntry> entries, Set<String> departed) {
    cell.workersListed(entries, now());
    cell.workersDeparted(departed, now());
    renewAll();
    requestPass();
  }

  private void renewAll() {
    renewals.values().removeIf(Renewals::finished);
    for (WorkerView worker : cell.workers()) {
      Renewals present = renewals.get(worker.id());
      if (present == null || !present.of(worker)) {
        if (present != null) {
          present.stop();
        }
        Renewals begun = new Renewals(instruments, cell, worker, epoch, this::mayOrder, answers);
        renewals.put(worker.id(), begun);
        begun.start();
      }
    }
  }

  private void tick() {
    if (ended) {
      return;
    }
    journal.tick();
    if (mayOrder()) {
      cell.tick(now(), instruments.wall().getAsLong());
    }
    requestPass();
  }

  private void requestPass() {
    if (!passScheduled && !ended && cell.needsPass()) {
      passScheduled = true;
      instruments.timers().after(PASS_DELAY, this::pass);
    }
  }

  /**
   * Failure: the owner starts the members of a gang while a successor takes over. Symptom: some
   * have started when the workers hear of the successor and refuse the others, and these wait in
   * vain. Safeguard: nothing starts while the claim is under way; orders sent just before it are
   * answered within some 10 ms, and a successor takes longer to claim the cell and call the
   * workers.
   */
  private void pass() {
    passScheduled = false;
    if (now() >= startsRestUntil && mayOrder()) {
      cell.pass(now(), instruments.wall().getAsLong());
    }
  }

  private void fenced(String by) {
    if (!ended) {
      lost.accept(by);
    }
  }

  /** Hears of the workers' answers to orders and renewals. */
  private final class Answers implements OrderSender.Events, Renewals.Events {

    @Override
    public boolean ended() {
      return ended;
    }

    @Override
    public void answered() {
      requestPass();
    }

    @Override
    public void fenced(String worker) {
      Owner.this.fenced("worker " + worker + " has seen a higher token");
    }

    @Override
    public void afterSave(Runnable action) {
      journal.afterSave(action);
    }
  }

  /** Hears of the journal. */
  private final class Written implements JournalWriter.Callbacks {

    @Override
    public void written(Submission submission, long version) {
      boolean first = !submission.durable();
      cell.markDurable(submission, version);
      if (first) {
        instruments
            .log()
            .event(
                PART,
                "accepted",
                "id",
                submission.spec().id(),
                "customer",
                submission.spec().customer(),
                "queue",
                submission.spec().queue().name(),
                "steps",
                submission.spec().steps().size(),
                "epoch",
                epoch);
        List<Promise<LinkReply>> promises = acceptances.remove(submission);
        if (promises != null) {
          promises.forEach(next -> next.tryComplete(new LinkReply.Accepted()));
        }
      }
      requestPass();
    }

    @Override
    public void fenced(String reason) {
      Owner.this.fenced(reason);
    }
  }
}
