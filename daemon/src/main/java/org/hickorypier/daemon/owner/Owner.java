package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hickorypier.core.admission.AdmissionDecision;
import org.hickorypier.core.admission.WithdrawalPolicy;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.ContactWindow;
import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.core.cell.EvacuationReading;
import org.hickorypier.core.cell.IndependentActions;
import org.hickorypier.core.cell.PassPacing;
import org.hickorypier.core.cell.RetryAfter;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.cell.SubmissionStatus;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.core.cell.WorkerTimeout;
import org.hickorypier.core.cell.WorkerView;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.time.TimerSubscription;

/**
 * State and operations of this instance while it owns the cell, from takeover until ownership ends.
 *
 * <p>Invariant: after {@link #end} nothing is ordered, written or acknowledged any more. Confined
 * to the control thread.
 */
final class Owner {

  private static final String PART = "owner";

  private static final Duration TICK_PERIOD = Duration.ofMillis(100);

  /**
   * Longest stay of a scheduling pass on the control thread, which also sends the proofs of
   * ownership, lease renewals and replies. Room that is freed between two parts of a pass goes to
   * the less urgent steps of the later part, so an ordinary pass is done in one.
   */
  private static final long MAX_PASS_NANOS = Duration.ofMillis(100).toNanos();

  private static final long LONG_PASS_MILLIS = 100;
  private static final long LONG_PASS_LOG_MILLIS = 10_000;

  /**
   * Limit of the waiting submissions. Beyond it the oldest would wait longer than any caller's
   * objective.
   */
  private static final int MAX_WAITING_SUBMISSIONS = 20_000;

  /** The oldest of the cancellations that are kept expire meanwhile, if they come steadily. */
  private static final long CANCELLATIONS_FULL_RETRY_AFTER_MILLIS = 10_000;

  /** A full queue shrinks by some thousand submissions in this time. */
  private static final long QUEUE_FULL_RETRY_AFTER_MILLIS = 2_000;

  /**
   * Maximum age of the proof of ownership behind a "not known" reply. It is below the 3 s after
   * which an accepted submission must be known everywhere.
   */
  private static final long NOT_KNOWN_PROOF_AGE_MILLIS = 2_000;

  private final OwnerDependencies dependencies;
  private final int epoch;
  private final int predecessorEpoch;
  private final Cell cell;
  private final JournalWriter journal;
  private final WorkerListReader workerListReader;
  private final Consumer<String> onLost;
  private final Map<String, LeaseRenewer> leaseRenewers = new HashMap<>();
  private final PendingAcceptances pendingAcceptances;

  /** Cancellations that wait for the journal. */
  private final List<Promise<LinkReply>> pendingCancellations = new ArrayList<>();

  /** Refusals that wait for a proof of ownership. */
  private final Set<PendingRefusal> pendingRefusals = new LinkedHashSet<>();

  private final WorkerTimeout workerTimeout;
  private final ContactWindow contactWindow;
  private final WorkerEvents workerEvents = new WorkerEvents();
  private final PassPacing passPacing = new PassPacing();
  private final TimerSubscription tickTimer;
  private boolean passScheduled;
  private boolean ended;
  private long longPassLoggedAt = -LONG_PASS_LOG_MILLIS;
  private long startsSuspendedUntil;
  private long evacuationsReadAt;

  Owner(
      OwnerDependencies dependencies,
      Takeover.Result taken,
      AdviceCallBalancer adviceCallBalancer,
      OrderRouter orderRouter,
      Optional<Collection<CustomerLimits>> customers,
      EvacuationReading evacuations,
      Consumer<String> onLost) {
    this.dependencies = dependencies;
    this.epoch = taken.epoch();
    this.onLost = onLost;
    long now = dependencies.timers().nowMillis();
    this.workerTimeout = new WorkerTimeout(dependencies.burstDelayMillis());
    this.contactWindow = new ContactWindow(dependencies.processors());
    OrderSender orders =
        new OrderSender(
            dependencies,
            taken.epoch(),
            adviceCallBalancer,
            orderRouter,
            workerTimeout,
            workerEvents);
    this.cell = new Cell(dependencies.timings(), orders, dependencies.log(), taken.epoch(), now);
    cell.limitOrders(dependencies.orderBytes());
    cell.limitSubmissions(dependencies.submissionBytes());
    this.journal =
        new JournalWriter(
            dependencies.store()::append,
            dependencies.timers(),
            dependencies.suspensionDetector(),
            dependencies.delayMonitor(),
            dependencies.log(),
            taken.epoch(),
            taken.sequence(),
            new JournalEvents());
    this.pendingAcceptances = new PendingAcceptances(this::now, journal);
    this.workerListReader = new WorkerListReader(dependencies, this::workersListed);
    orders.connect(cell, journal);
    customers.ifPresent(cell::configure);
    evacuationsRead(evacuations);
    JournalContents predecessorState = new JournalContents(taken.values(), dependencies.log());
    this.predecessorEpoch = predecessorState.owner().epoch();
    long wallMillis = dependencies.wallClock().getAsLong();
    int restored = predecessorState.restore(cell, now, wallMillis);
    cell.restoreRoster(predecessorState.roster());
    cell.restoreSpeeds(predecessorState.speeds());
    dependencies
        .log()
        .event(
            PART,
            "owner-gained",
            "epoch",
            epoch,
            "submissions",
            restored,
            "roster",
            predecessorState.roster().size());
    workerListReader.start();
    updateRenewals();
    this.tickTimer = dependencies.timers().every(TICK_PERIOD, this::tick);
  }

  int epoch() {
    return epoch;
  }

  void configure(Collection<CustomerLimits> customers) {
    cell.configure(customers);
    requestPass();
  }

  /** Applies a read of the operator's evacuations. */
  void evacuationsRead(EvacuationReading reading) {
    evacuationsReadAt = reading.readAt();
    cell.evacuationsRead(reading, now());
    requestPass();
  }

  /** Returns whether no suspension hides the true age of the last read of the evacuations. */
  private boolean isEvacuationReadAgeKnown() {
    return dependencies.timings().evacuationReadAgeMillis() == CellTimings.UNLIMITED
        || dependencies.suspensionDetector().isUninterruptedSince(evacuationsReadAt);
  }

  /** Returns whether it is proven that no successor took over more than the given time ago. */
  boolean isProven(long withinMillis) {
    return !ended && journal.isProven(withinMillis);
  }

  /** Returns whether the store has accepted no append for longer than the given time. */
  boolean isStoreUnavailableFor(long millis) {
    return journal.unavailableMillis() > millis;
  }

  /**
   * Accepts a submission.
   *
   * @param waitMillis how long the caller waits, in milliseconds; 0 if unknown
   */
  Future<LinkReply> submit(SubmissionSpec spec, long waitMillis) {
    SubmissionStatus status = cell.status(spec.id());
    if (status != null && status.durable()) {
      return Future.succeededFuture(new LinkReply.Accepted());
    }
    if (status == null && cell.size() >= MAX_WAITING_SUBMISSIONS) {
      return refuseOnceProven(spec, waitMillis, "the queue is full", QUEUE_FULL_RETRY_AFTER_MILLIS);
    }
    if (status == null && !cell.hasMemoryFor(spec)) {
      return refuseOnceProven(
          spec,
          waitMillis,
          "the memory for waiting submissions is used up",
          QUEUE_FULL_RETRY_AFTER_MILLIS);
    }
    if (status == null && journal.unavailableMillis() > WithdrawalPolicy.TAKEOVER_MILLIS) {
      // Most likely the store is unavailable to all instances by now, and an immediate refusal
      // serves the caller better than a wait. Before that, the request waits, since a successor can
      // accept it shortly. Nothing proves here that no successor has taken over.
      return refuse(spec, "the store is unavailable", RetryAfter.delayMillis(spec));
    }
    AdmissionDecision decision = cell.admit(spec, knowsAllAccepted(), now());
    if (!decision.accepted()) {
      return refuseOnceProven(
          spec,
          waitMillis,
          decision.reason(),
          decision.retryAfterMillis(),
          "estimate_ms",
          decision.estimateMillis(),
          "limit_ms",
          decision.limitMillis());
    }
    Submission submission = cell.find(spec.id());
    requestPass();
    return pendingAcceptances.add(submission, waitMillis);
  }

  /**
   * Refuses a submission once an append shows that no successor had taken over when it arrived. A
   * successor may have accepted an earlier try of it, and the refusal would be wrong.
   */
  private Future<LinkReply> refuseOnceProven(
      SubmissionSpec spec, long waitMillis, String reason, long retryAfterMillis, Object... more) {
    Promise<LinkReply> promise = Promise.promise();
    PendingRefusal pending = new PendingRefusal(spec, promise, now(), waitMillis);
    pendingRefusals.add(pending);
    promise.future().onComplete(done -> pendingRefusals.remove(pending));
    journal.put(JournalKeys.PROOF, new byte[] {1});
    journal.afterSave(
        () -> {
          if (promise.future().isComplete()) {
            return;
          }
          // Another try of the same submission may have been accepted meanwhile.
          Future<LinkReply> reply =
              cell.status(spec.id()) != null
                  ? submit(spec, pending.remainingMillis(now()))
                  : refuse(spec, reason, retryAfterMillis, more);
          reply.onSuccess(promise::tryComplete);
        });
    return promise.future();
  }

  /** A refusal that waits for a proof of ownership. */
  private record PendingRefusal(
      SubmissionSpec spec, Promise<LinkReply> promise, long since, long waitMillis) {

    /** Returns how long the caller still waits, in milliseconds; not positive if unknown. */
    long remainingMillis(long now) {
      return waitMillis > 0 ? Math.max(1, waitMillis - (now - since)) : waitMillis;
    }
  }

  /** Answers the refusals whose proof does not come in time, as submissions that wait for it. */
  private void completeDueRefusals() {
    for (PendingRefusal pending : List.copyOf(pendingRefusals)) {
      long remaining = pending.remainingMillis(now());
      if (cell.status(pending.spec.id()) == null
          && WithdrawalPolicy.isDue(
              journal.unavailableMillis(),
              now() - pending.since,
              remaining > 0 ? remaining : Long.MAX_VALUE)) {
        refuse(
                pending.spec,
                "the store did not answer in time, and nothing was written",
                RetryAfter.delayMillis(pending.spec))
            .onSuccess(pending.promise::tryComplete);
      }
    }
  }

  /** Refuses a submission that waits for the journal and is never written. */
  private Future<LinkReply> refuseWithdrawn(Submission submission) {
    cell.withdraw(submission);
    return refuse(
        submission.spec(),
        "the store did not answer in time, and nothing was written",
        RetryAfter.delayMillis(submission.spec()));
  }

  private Future<LinkReply> refuse(
      SubmissionSpec spec, String reason, long retryAfterMillis, Object... more) {
    List<Object> fields =
        new ArrayList<>(
            List.of(
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
                retryAfterMillis));
    fields.addAll(List.of(more));
    dependencies.log().event(PART, "refused", fields.toArray());
    return Future.succeededFuture(new LinkReply.Refused(reason, retryAfterMillis, epoch));
  }

  LinkReply inquire(String id, String customer) {
    SubmissionStatus status = visibleStatus(id, customer);
    if (status != null) {
      return new LinkReply.State(status.state());
    }
    return knowsAllAccepted() ? new LinkReply.NotKnown() : new LinkReply.NotOwner();
  }

  Future<LinkReply> cancel(String id, String customer) {
    if (visibleStatus(id, customer) == null) {
      return cancelEarly(id, customer);
    }
    Submission submission = cell.find(id);
    if (submission != null) {
      cell.cancel(submission, now());
    }
    return onceWritten(() -> new LinkReply.State(cell.status(id).state()));
  }

  /**
   * Cancels a submission that is not durable here. The reply waits until the journal holds the
   * cancellation, since the submission may become durable later, at this owner or the next. The
   * append also proves that no successor had accepted the submission.
   */
  private Future<LinkReply> cancelEarly(String id, String customer) {
    if (!cell.cancelEarly(id, customer, now(), dependencies.wallClock().getAsLong())) {
      String reason = "too many submissions are cancelled that are not known";
      dependencies
          .log()
          .event(PART, "cancellation-refused", "id", id, "customer", customer, "reason", reason);
      return Future.succeededFuture(
          new LinkReply.Refused(reason, CANCELLATIONS_FULL_RETRY_AFTER_MILLIS, epoch));
    }
    return onceWritten(
        () ->
            visibleStatus(id, customer) == null
                ? new LinkReply.NotKnown()
                : new LinkReply.State(SubmissionState.CANCELLED));
  }

  /** Replies to a cancellation once all that was saved is written. */
  private Future<LinkReply> onceWritten(Supplier<LinkReply> reply) {
    Promise<LinkReply> promise = Promise.promise();
    journal.afterSave(() -> promise.tryComplete(reply.get()));
    pendingCancellations.add(promise);
    promise.future().onComplete(done -> pendingCancellations.remove(promise));
    return promise.future();
  }

  /**
   * Returns whether this owner knows every submission that was accepted more than a short time ago.
   *
   * <p>An owner that was suspended or partitioned can answer callers beside its successor, and
   * would report a submission that the successor accepted as not existing. A "not known" reply
   * therefore needs a proof that there was no successor a short time ago. This suffices because
   * callers may receive such a reply for 3 s after the acknowledgement.
   */
  private boolean knowsAllAccepted() {
    return journal.isProven(NOT_KNOWN_PROOF_AGE_MILLIS);
  }

  LinkReply explain(String id) {
    List<String> lines = new ArrayList<>(cell.explain(id, now()));
    Submission submission = cell.find(id);
    if (submission != null && !submission.durable()) {
      lines.add(
          journal.isUnsent(submission)
              ? "waits for an append to the journal; it can be withdrawn"
              : "is in an append to the journal that the store has not confirmed");
      lines.add("the store has been unavailable for " + journal.unavailableMillis() + " ms");
    }
    return new LinkReply.Lines(lines);
  }

  LinkReply countWaiting(String queue) {
    return knowsAllAccepted()
        ? new LinkReply.Number(cell.countWaiting(queue))
        : new LinkReply.NotOwner();
  }

  private SubmissionStatus visibleStatus(String id, String customer) {
    SubmissionStatus status = cell.status(id);
    boolean visible = status != null && status.durable() && status.customer().equals(customer);
    return visible ? status : null;
  }

  /** Ends ownership. Callers that wait for a reply are referred to the next owner. */
  void end(String reason) {
    if (ended) {
      return;
    }
    ended = true;
    dependencies
        .log()
        .event(
            PART,
            "owner-lost",
            "epoch",
            epoch,
            "reason",
            reason,
            "unanswered",
            pendingAcceptances.size());
    tickTimer.cancel();
    journal.stop();
    workerListReader.stop();
    leaseRenewers.values().forEach(LeaseRenewer::stop);
    pendingAcceptances.end(epoch);
    List.copyOf(pendingRefusals)
        .forEach(pending -> pending.promise.tryComplete(unprovenReply(pending.spec)));
    List.copyOf(pendingCancellations)
        .forEach(promise -> promise.tryComplete(new LinkReply.NotOwner()));
  }

  /** Another try of the same submission may have been accepted while the refusal was pending. */
  private LinkReply unprovenReply(SubmissionSpec spec) {
    return cell.status(spec.id()) == null
        ? LinkReply.NotOwner.notWritten()
        : new LinkReply.NotOwner(epoch);
  }

  /** Returns what may still run on the workers once this owner has ended. */
  List<RosterEntry> finalRoster() {
    return cell.finalRoster(now());
  }

  /**
   * Applies the final roster of a former owner. The roster of an owner before the predecessor is
   * ignored, since it does not include what the later owners ordered.
   */
  void formerOwnerEnded(int formerEpoch, List<RosterEntry> roster) {
    boolean predecessor = formerEpoch == predecessorEpoch;
    dependencies
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

  /** Suspends journal writes and starts for the given times, while a successor claims the cell. */
  void suspendWriting(long appendsPauseMillis, long startsPauseMillis) {
    journal.pauseAppends(appendsPauseMillis);
    startsSuspendedUntil = now() + startsPauseMillis;
  }

  /**
   * Resumes journal writes but suspends starts for the given time: a successor may own the cell.
   */
  void resumeWriting(long startDelayMillis) {
    journal.resumeAppends();
    startsSuspendedUntil = now() + startDelayMillis;
  }

  /** Runs an action once all pending journal writes are stored. */
  void whenWritten(Runnable action) {
    journal.afterSave(action);
  }

  private long now() {
    return dependencies.timers().nowMillis();
  }

  private boolean maySendOrders() {
    return !ended && journal.isProven(dependencies.timings().ownershipProofMillis());
  }

  private void workersListed(Map<String, WorkerEntry> entries, Set<String> departed) {
    IndependentActions parts = new IndependentActions();
    parts.run("worker list", () -> cell.workersListed(entries, now()));
    parts.run("departure of workers", () -> cell.workersDeparted(departed, now()));
    parts.run("lease renewals", this::updateRenewals);
    requestPass();
    parts.throwIfFailed();
  }

  private void updateRenewals() {
    leaseRenewers.values().removeIf(LeaseRenewer::isStopped);
    IndependentActions contacts = new IndependentActions();
    for (WorkerView worker : cell.workers()) {
      LeaseRenewer current = leaseRenewers.get(worker.id());
      if (current == null || !current.isFor(worker)) {
        if (current != null) {
          current.stop();
        }
        LeaseRenewer renewal =
            new LeaseRenewer(
                dependencies,
                cell,
                worker,
                this::maySendOrders,
                workerTimeout,
                contactWindow,
                workerEvents);
        leaseRenewers.put(worker.id(), renewal);
        contacts.run("contact of " + worker.id(), renewal::renew);
      }
    }
    contacts.throwIfFailed();
  }

  private void tick() {
    if (ended) {
      return;
    }
    IndependentActions parts = new IndependentActions();
    parts.run("proof of ownership", journal::tick);
    parts.run(
        "withdrawal of submissions", () -> pendingAcceptances.withdrawDue(this::refuseWithdrawn));
    parts.run("refusal of submissions", this::completeDueRefusals);
    if (maySendOrders()) {
      parts.run(
          "periodic work of the cell",
          () -> cell.tick(now(), dependencies.wallClock().getAsLong()));
    }
    requestPass();
    parts.throwIfFailed();
  }

  private void requestPass() {
    if (!passScheduled && !ended && cell.needsPass()) {
      passScheduled = true;
      dependencies.timers().after(passPacing.delay(), this::pass);
    }
  }

  /**
   * Runs a scheduling pass unless starts are suspended.
   *
   * <p>If the owner starts the members of a gang while a successor takes over, some of them start,
   * and then the workers learn of the successor and refuse the others, so that those started wait
   * in vain. Starts are therefore suspended while a successor claims the cell. Orders that were
   * sent just before are answered within some 10 ms, and a successor takes longer than that to
   * claim the cell and call the workers.
   */
  private void pass() {
    passScheduled = false;
    if (now() < startsSuspendedUntil || !maySendOrders() || !isEvacuationReadAgeKnown()) {
      return;
    }
    long startNanos = System.nanoTime();
    boolean complete =
        cell.pass(
            now(),
            dependencies.wallClock().getAsLong(),
            () -> System.nanoTime() - startNanos < MAX_PASS_NANOS && maySendOrders());
    double millis = passPacing.recordPass(System.nanoTime() - startNanos, complete);
    if (complete) {
      logLongPass(millis);
    } else {
      requestPass();
    }
  }

  private void logLongPass(double millis) {
    if (millis >= LONG_PASS_MILLIS && now() - longPassLoggedAt >= LONG_PASS_LOG_MILLIS) {
      longPassLoggedAt = now();
      dependencies
          .log()
          .event(
              PART,
              "long-pass",
              "epoch",
              epoch,
              "took_ms",
              Math.round(millis),
              "ready_steps",
              cell.readySteps());
    }
  }

  private void reportFenced(String reason) {
    if (!ended) {
      onLost.accept(reason);
    }
  }

  /** Handles the workers' replies to orders and lease renewals. */
  private final class WorkerEvents implements OrderSender.Events, LeaseRenewer.Events {

    @Override
    public boolean isEnded() {
      return ended;
    }

    @Override
    public void workerAnswered() {
      requestPass();
    }

    @Override
    public void fenced(String worker) {
      Owner.this.reportFenced("worker " + worker + " has seen a higher token");
    }

    @Override
    public void afterSave(Runnable action) {
      journal.afterSave(action);
    }
  }

  /** Handles completed journal writes and fencing by the store. */
  private final class JournalEvents implements JournalWriter.Callbacks {

    @Override
    public void written(Submission submission, long version) {
      boolean first = !submission.durable();
      cell.markDurable(submission, version);
      if (first) {
        dependencies
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
        pendingAcceptances.accepted(submission);
      }
      requestPass();
    }

    @Override
    public void fenced(String reason) {
      Owner.this.reportFenced(reason);
    }
  }
}
