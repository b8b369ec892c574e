package org.hickorypier.core.cell;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.estimation.WorkerRating;
import org.hickorypier.core.estimation.WorkerSpeedEstimator;
import org.hickorypier.core.model.Resources;

/**
 * The owner's view of one worker: its runs, its lease and whether it may get orders.
 *
 * <p>Invariant: the sum of {@code runs} and reservations is an upper bound of what is in use on the
 * worker. A run is removed only when the worker has reported that it ended or never arrived, when
 * the worker has restarted or left, when every lease under which it may be active has expired,
 * which may be one that a later incarnation took from a call to this one, or, before the worker
 * first answers this owner, when the former owner reports that nothing was left there.
 *
 * <p>A worker is open or closed to orders ({@code closedAfter}), and its lease is either renewed or
 * left to expire. A successor reads both from the roster, so orders wait for {@code onRoster}, and
 * renewals after a long silence for {@code renewable}. Confined to the control thread.
 */
public final class WorkerView {

  /**
   * Marks a missing clock reading. Each renewal takes a new reading; without one no order can carry
   * a deadline.
   */
  private static final long NO_READING = -1;

  private static final long NEVER = -1;

  /**
   * Age of the last answer from which on the worker may have crashed and restarted. A worker
   * answers at least once a second; this is three times that. It is exceeded, for instance, while
   * this owner cannot prove its ownership.
   */
  private static final long MAX_ANSWER_AGE_MILLIS = 3_000;

  /**
   * Age of the last answer up to which orders may be resent. A worker answers at least twice in
   * this time, and takes longer than that to restart.
   */
  private static final long MAX_RESEND_ANSWER_AGE_MILLIS = 1_000;

  /**
   * Silence after which a worker may be lost. A request whose answer was lost is repeated well
   * within this time.
   */
  private static final long LONG_SILENCE_MILLIS = 500;

  final Map<RunKey, Run> runs = new LinkedHashMap<>();

  /** Number of start orders to the worker that are neither answered nor given up. */
  int ordersInTransit;

  private WorkerEntry entry;
  boolean listed;
  private WorkerIncarnation incarnation;

  /** Whether the worker has answered a renewal under this owner's token. */
  boolean hasAnswered;

  /** What the present incarnation has told of its runs and ends. */
  ReportCoverage coverage = ReportCoverage.NONE;

  /** Whether the worker is on the durable roster, so that a successor contacts it. */
  boolean onRoster;

  /**
   * Whether the worker is known from its entry only, which may be that of another writer. It has no
   * runs then: earlier owners did not list it, and this one gives it no orders.
   */
  boolean unconfirmed;

  /** Whether the worker may have runs that an earlier owner ordered and did not list. */
  boolean runsUnknown;

  /** When every lease granted by earlier owners has expired, on the owner's monotonic clock. */
  long earlierLeasesEnd;

  /**
   * When every lease has expired that the incarnation may have taken from a call to a former one,
   * on the owner's monotonic clock. The deadline of such a call is on another clock.
   */
  long formerLeasesEnd;

  /**
   * When every lease has expired that a listed incarnation which has not answered yet may have
   * taken from calls to the present one, on the owner's monotonic clock; 0 if none is listed.
   */
  private long unheardLeasesEnd;

  /** The start of that incarnation; 0 if none is listed. */
  private long unheardBornMillis;

  /**
   * When the last call that grants a lease was sent by this owner, on its monotonic clock; {@link
   * #NEVER} if there was none.
   */
  private long lastGrantAt = NEVER;

  /**
   * Whether calls to a former incarnation may still be carried out, since the worker has not
   * answered a renewal under the token of this incarnation.
   */
  boolean mayTakeFormerCalls;

  /** The fencing token of the calls to this incarnation. */
  private long fencingToken;

  /** When the present fencing token was issued, on the owner's monotonic clock. */
  private long fencingTokenSince;

  /** Whether the roster that was last handed to the store tells of a lease of a former call. */
  boolean formerLeaseOnRoster;

  /**
   * The number of the last submission of which the worker may have runs once it gets no more
   * orders; {@link RosterEntry#OPEN} while it may get orders.
   */
  long closedAfter = RosterEntry.OPEN;

  /** The capacity on the roster that was last handed to the store or restored. */
  Resources rosterCapacity = Resources.NONE;

  /** Whether the worker was taken off the roster, since it runs nothing and gets no orders. */
  boolean retired;

  /** Whether the last renewal had no answer. */
  boolean silent;

  long silentSince;
  long lastAnswerAt;

  /** When the previous incarnation was lost, on the owner's monotonic clock. */
  long previousLostAt;

  /** Whether the loss of the present incarnation is among those of the cell. */
  boolean lossRecorded;

  /** Whether the lease may be renewed: no roster that a successor may read says that it expires. */
  boolean renewable = true;

  /** Whether the roster that was last handed to the store says that the lease expires. */
  boolean leaseExpiringOnRoster;

  /** Start orders without an answer, by the time they were sent; each may still be carried out. */
  final Map<RunKey, Long> unansweredOrders = new LinkedHashMap<>();

  /**
   * Runs that a restarted worker must refuse; each is kept until the worker has answered the stop.
   */
  final Set<RunKey> runsToRefuse = new LinkedHashSet<>();

  long clockReading = NO_READING;
  long clockReadAt;
  long highestDeadline;

  /** The deadline of the last renewal; -1 if it requested a report only. */
  long lastRenewalDeadline = -1;

  /** The highest number of an end that has been processed. */
  long lastProcessedEnd;

  /**
   * Runs whose end has been processed but is not durable; a successor must hear of it from the
   * worker.
   */
  final Set<RunKey> unsavedEnds = new LinkedHashSet<>();

  /** The highest number of an end that is durable; the worker may discard ends up to it. */
  long lastDurableEnd;

  /** The task that the worker is reserved for, or the first member of the gang; or null. */
  Task trialUnit;

  /** When nothing else ran on the worker that is reserved. */
  long trialSince;

  /** When the task that the worker is reserved for last asked for a worker. */
  long trialWantedAt;

  private long usedProcessors;
  private long usedMemory;
  private long usedAccelerators;
  private long reservedProcessors;
  private long reservedMemory;

  /**
   * Whether the worker has removed itself from the worker list; it counts as gone once it no longer
   * answers.
   */
  boolean departed;

  /** Whether the worker's data centre is being evacuated, so that the worker gets no orders. */
  boolean evacuated;

  /** End of the time in which the worker is slow after its start. */
  private long coldUntil;

  /** Whether the worker is slow after its start, as of the present scheduling pass. */
  boolean cold;

  int failureStreak;
  long quarantinedUntil;
  long fullUntil;

  /** Speed of the worker; null before the first scheduling pass that includes it. */
  WorkerRating rating;

  /**
   * Relative run time of tasks on the worker as of the present scheduling pass; 1 is the mean.
   * Figures of single workers are rounded, so that workers that hardly differ are chosen by fit.
   */
  double placingFactor = 1;

  /** End of the time in which the worker gets no orders since it was found slow. */
  long slowBackoffUntil;

  /** How many times in a row the worker was found slow. */
  int slowStreak;

  WorkerView(WorkerEntry entry, long fencingToken) {
    this.entry = entry;
    this.fencingToken = fencingToken;
    this.incarnation = WorkerIncarnation.undescribed(entry.bornMillis()).after(entry);
  }

  /**
   * Returns a worker from the roster of an earlier owner. Its entry there describes no incarnation:
   * the labels may be those of an earlier one, and the capacity is an upper bound.
   */
  static WorkerView fromRoster(WorkerEntry entry, long fencingToken) {
    WorkerView worker = new WorkerView(entry, fencingToken);
    worker.incarnation = WorkerIncarnation.undescribed(entry.bornMillis());
    return worker;
  }

  /**
   * Returns the worker's id.
   *
   * @return the id
   */
  public String id() {
    return entry.id();
  }

  /** Returns the incarnation that the worker was in when it last answered. */
  WorkerIncarnation incarnation() {
    return incarnation;
  }

  /** Returns the start of that incarnation, in milliseconds since 1970. */
  long bornMillis() {
    return incarnation.bornMillis();
  }

  /**
   * Returns the worker's latest entry in the worker list, which may be that of an incarnation
   * before or after the present one.
   *
   * @return the entry
   */
  public WorkerEntry entry() {
    return entry;
  }

  /**
   * Returns the number up to which the worker may discard its ends. A worker that has not answered
   * a renewal may have restarted, and a restarted worker numbers its ends from the beginning: given
   * the old number, it would discard ends that no owner has seen, and their tasks would run twice.
   * The result is therefore 0 until the worker has answered with its start time.
   *
   * @param now the time, on the owner's monotonic clock, in milliseconds
   * @return the number, or 0 if the worker is to discard nothing
   */
  public long acknowledgedEnd(long now) {
    return silent || !answeredRecently(now) ? 0 : lastDurableEnd;
  }

  /**
   * Returns the fencing token for calls that are sent now.
   *
   * @return the token
   */
  public long fencingToken() {
    return fencingToken;
  }

  /**
   * Returns whether the worker has answered a renewal under this owner's token.
   *
   * @return false until its first answer
   */
  public boolean hasAnswered() {
    return hasAnswered;
  }

  /**
   * Returns whether the last renewal had no answer.
   *
   * @return true while the worker is silent
   */
  public boolean silent() {
    return silent;
  }

  /**
   * Records an answer under this owner's token; from then on the worker accepts no renewal by an
   * earlier owner.
   */
  void recordAnswer(long clockMillis, long longestLeaseMillis, long now) {
    if (!hasAnswered) {
      earlierLeasesEnd = Math.min(earlierLeasesEnd, now + longestLeaseMillis);
    }
    hasAnswered = true;
    silent = false;
    lastAnswerAt = now;
    clockReading = clockMillis;
    clockReadAt = now;
  }

  /** Records that a renewal had no answer. */
  void recordMissingAnswer(long now) {
    if (!silent) {
      silentSince = now;
    }
    silent = true;
  }

  /**
   * Resets the view of a restarted worker, which has lost its state and numbers its ends from the
   * start.
   */
  void beginIncarnation(long newBornMillis, long newToken, CellTimings timings, long now) {
    previousLostAt = lostAt(now);
    fencingToken = newToken;
    unheardLeasesEnd = 0;
    unheardBornMillis = 0;
    expectFormerCalls(timings, now);
    lossRecorded = false;
    coverage = ReportCoverage.NONE;
    incarnation = WorkerIncarnation.undescribed(newBornMillis).after(entry);
    rating = null;
    placingFactor = 1;
    fullUntil = 0;
    coldUntil = incarnation.isDescribed() ? coldUntil : 0;
    lastProcessedEnd = 0;
    lastDurableEnd = 0;
    unsavedEnds.clear();
    highestDeadline = 0;
    earlierLeasesEnd = 0;
    failureStreak = 0;
    quarantinedUntil = 0;
    slowBackoffUntil = 0;
    slowStreak = 0;
  }

  /**
   * Records that the worker may carry out calls that were sent to a former incarnation. It gets
   * orders once a roster that says so is durable.
   */
  void expectFormerCalls(CellTimings timings, long now) {
    fencingTokenSince = now;
    mayTakeFormerCalls = true;
    formerLeasesEnd = now + timings.longestFormerCallMillis();
    onRoster = false;
    formerLeaseOnRoster = false;
  }

  /**
   * Records that the worker has answered a renewal. If that carried the token of this incarnation,
   * the worker refuses all calls to former ones from now on.
   */
  void recordAnsweredToken(long sentAt, CellTimings timings, long now) {
    if (mayTakeFormerCalls && sentAt >= fencingTokenSince) {
      mayTakeFormerCalls = false;
      formerLeaseOnRoster = false;
      formerLeasesEnd = Math.min(formerLeasesEnd, now + timings.longestFormerLeaseMillis());
    }
  }

  /**
   * Records that a later incarnation than the one that has answered is on the worker list. Calls to
   * the one that has answered may be carried out by it, and their runs last as long as its leases.
   */
  void expectUnheardIncarnation(long listedBornMillis, CellState cell, long now) {
    if (listedBornMillis > unheardBornMillis) {
      unheardBornMillis = listedBornMillis;
      // A former owner sends calls until its last proof of ownership has expired.
      unheardLeasesEnd =
          hasAnswered
              ? orderInTransitEnd(cell.timings, now)
              : cell.takenOverAt
                  + cell.timings.ownershipProofMillis()
                  + cell.timings.longestFormerLeaseMillis();
    }
  }

  /** Records that no former owner sends calls any more, so that such leases end by then. */
  void limitUnheardLeases(long end) {
    unheardLeasesEnd = Math.min(unheardLeasesEnd, end);
  }

  /**
   * Returns when every lease has expired that an incarnation which nobody has heard of may have
   * taken from calls that were in transit when the worker fell silent.
   */
  private long orderInTransitEnd(CellTimings timings, long now) {
    return lostAt(now) + CellTimings.MAX_ANSWER_WAIT_MILLIS + timings.longestFormerLeaseMillis();
  }

  /** Returns until when a run may be active if the worker stays silent. */
  long runEnd(Run run, CellTimings timings, long now) {
    long end = leaseEnd();
    if (run.mayHaveReachedLaterIncarnation()) {
      end = Math.max(end, unheardLeasesEnd);
    }
    if (run.hasOrderInTransit()) {
      end = Math.max(end, orderInTransitEnd(timings, now));
    }
    return Math.max(end, run.unheardEnd);
  }

  /** Returns the runs that may be active longer than the leases of the known incarnation. */
  List<RunKey> runsBeyondLease(CellTimings timings, long now) {
    long end = leaseEnd();
    return runs.values().stream()
        .filter(run -> runEnd(run, timings, now) > end)
        .map(run -> run.key)
        .toList();
  }

  /** Returns when the last run can have ended if the worker stays silent. */
  long lastRunEnd(CellTimings timings, long now) {
    long end = leaseEnd();
    for (Run run : runs.values()) {
      end = Math.max(end, runEnd(run, timings, now));
    }
    return end;
  }

  /** Records that a call which grants a lease is sent. */
  void recordGrant(long deadline, long now) {
    highestDeadline = Math.max(highestDeadline, deadline);
    lastGrantAt = now;
  }

  /** Records that a former owner may have sent such calls until then. */
  void expectGrantsUntil(long time) {
    lastGrantAt = Math.max(lastGrantAt, time);
  }

  /**
   * Returns when every lease has expired that a later incarnation may take from a call to this one,
   * or this one from a call to a former one.
   */
  long callsToIncarnationsEnd(CellTimings timings) {
    return lastGrantAt == NEVER
        ? formerLeasesEnd
        : Math.max(formerLeasesEnd, lastGrantAt + timings.longestFormerCallMillis());
  }

  /**
   * Returns when every lease under which the worker may have runs of earlier owners has expired.
   */
  long unknownRunsEnd() {
    return Math.max(earlierLeasesEnd, Math.max(formerLeasesEnd, unheardLeasesEnd));
  }

  /** Returns how long a lease of a former call may last, in milliseconds. */
  long formerLeaseMillis(long now) {
    return Math.max(0, formerLeasesEnd - now);
  }

  /** Returns since when a worker that is found to be lost cannot have run anything. */
  long lostAt(long now) {
    return silent ? silentSince : now;
  }

  void update(WorkerEntry newer, long now) {
    if (newer != entry || !listed) {
      coldUntil = now + newer.coldMillis();
    }
    entry = newer;
    incarnation = incarnation.after(newer);
    listed = true;
  }

  /** Takes over the present estimate of the worker's speed once its kind is known. */
  void rate(WorkerSpeedEstimator estimator, long now) {
    if (!incarnation.isDescribed()) {
      return;
    }
    rating = estimator.rating(entry.id(), entry.service(), incarnation.kind(), bornMillis(), now);
    placingFactor =
        estimator.isByWorker()
            ? Placer.FACTOR_GRID * Math.rint(rating.cautiousFactor() / Placer.FACTOR_GRID)
            : rating.factor();
  }

  /** Returns the relative run time of tasks on the worker. */
  double speedFactor() {
    return rating == null ? 1 : rating.factor();
  }

  /** Returns the standard error of the logarithm of the speed factor. */
  double speedUncertainty() {
    return rating == null ? 0 : rating.uncertainty();
  }

  /** Returns whether the worker is still slow after its start. */
  boolean isCold(long now) {
    return now < coldUntil;
  }

  /** Returns a lower bound of the worker's clock; -1 without a reading. */
  long clockAt(long now) {
    return clockReading == NO_READING ? NO_READING : clockReading + (now - clockReadAt);
  }

  /**
   * Returns the deadline of a lease whose renewal is sent now, and records it. A worker that did
   * not answer the last renewal gets none: otherwise each attempt would postpone the time at which
   * its tasks can be given to other workers. Nor does a worker whose lease expires according to a
   * roster that a successor may read, or one that has not answered for a while, since it may have
   * restarted with a new clock, or one that has no runs and gets no orders.
   *
   * @param now the time, on the owner's monotonic clock, in milliseconds
   * @param leaseMillis the length of the lease, in milliseconds
   * @return the deadline on the worker's clock, in milliseconds, or -1 for a renewal that requests
   *     a report only
   */
  public long nextDeadline(long now, long leaseMillis) {
    if (clockReading == NO_READING
        || !answeredRecently(now)
        || silent
        || !renewable
        || needsNoLease()) {
      lastRenewalDeadline = -1;
      return -1;
    }
    long deadline = clockAt(now) + leaseMillis;
    lastRenewalDeadline = deadline;
    recordGrant(deadline, now);
    return deadline;
  }

  /**
   * Returns when every lease of the incarnation that has answered has expired, on the owner's
   * monotonic clock.
   */
  long leaseEnd() {
    return Math.max(grantedLeaseEnd(), formerLeasesEnd);
  }

  /**
   * Returns when every lease that was granted to that incarnation has expired, apart from those
   * that it may have taken from calls to former incarnations.
   */
  long grantedLeaseEnd() {
    if (clockReading == NO_READING || highestDeadline <= clockReading) {
      return Math.max(clockReadAt, earlierLeasesEnd);
    }
    double remaining = (highestDeadline - clockReading) / CellTimings.SLOWEST_CLOCK_RATE;
    long ownLeasesEnd = clockReadAt + Math.round(remaining) + CellTimings.LEASE_MARGIN_MILLIS;
    return Math.max(ownLeasesEnd, earlierLeasesEnd);
  }

  void add(Run run) {
    runs.put(run.key, run);
    addUsage(run.size, 1);
  }

  void remove(Run run) {
    if (runs.remove(run.key) != null) {
      addUsage(run.size, -1);
    }
  }

  private void addUsage(Resources size, int sign) {
    usedProcessors += sign * size.milliProcessors();
    usedMemory += sign * size.memoryMebibytes();
    usedAccelerators += (long) sign * size.accelerators();
  }

  void reserve(Resources size, int sign) {
    reservedProcessors += sign * size.milliProcessors();
    reservedMemory += sign * size.memoryMebibytes();
  }

  /**
   * Returns the worker as a successor has to know it: in the incarnation that has the runs, which
   * the list may have left behind, and with the most that may be in use, since runs that were
   * started before its capacity shrank may exceed it. A successor places nothing by it.
   */
  WorkerEntry rosterEntry() {
    Resources used = new Resources(usedProcessors, usedMemory, (int) usedAccelerators);
    return entry.ofIncarnation(bornMillis(), entry.capacity().max(used));
  }

  long usedProcessors() {
    return usedProcessors;
  }

  long freeProcessors() {
    return incarnation.capacity().milliProcessors() - usedProcessors - reservedProcessors;
  }

  long freeMemory() {
    return incarnation.capacity().memoryMebibytes() - usedMemory - reservedMemory;
  }

  long freeAccelerators() {
    return incarnation.capacity().accelerators() - usedAccelerators;
  }

  /**
   * Returns whether the capacity of the worker is part of that of the cell. Until the worker has
   * answered, its entry may be that of another writer, which names a worker that does not exist.
   */
  boolean addsCapacity() {
    return listed && hasAnswered;
  }

  private boolean answeredRecently(long now) {
    return now - lastAnswerAt <= MAX_ANSWER_AGE_MILLIS;
  }

  boolean isOpen() {
    return closedAfter == RosterEntry.OPEN;
  }

  /**
   * Returns whether the worker is to get no orders for a while, which the roster must tell a
   * successor.
   */
  boolean shouldClose(long now) {
    return entry.draining() || isSilentForLong(now);
  }

  /**
   * Returns whether the lease is not renewed, since the worker has never answered or is silent for
   * long.
   */
  boolean isLeaseExpiring(long now) {
    return !hasAnswered || isSilentForLong(now);
  }

  /** Returns whether the worker may be lost, so that its lease is left to expire. */
  boolean isSilentForLong(long now) {
    return silent && now - silentSince >= LONG_SILENCE_MILLIS;
  }

  /**
   * Returns whether a renewal has to wait until a roster that allows it is durable.
   *
   * @return true while the lease may not be renewed although the worker answers
   */
  public boolean waitsForRoster() {
    return hasAnswered && !silent && !renewable;
  }

  /**
   * Returns whether the worker has no runs and gets no orders.
   *
   * @return true if its renewals request a report only
   */
  public boolean needsNoLease() {
    return hasAnswered && !silent && !isOpen() && isEmpty();
  }

  /** Returns whether nothing runs on the worker and no order to it is in transit. */
  boolean isEmpty() {
    return runs.isEmpty()
        && unsavedEnds.isEmpty()
        && unansweredOrders.isEmpty()
        && runsToRefuse.isEmpty();
  }

  /**
   * Returns whether an order without an answer may be sent again. A worker that has not answered
   * for a while may have restarted, and the order's deadline does not apply to its new clock.
   */
  boolean acceptsResentOrders(long now) {
    return incarnation.isDescribed()
        && !silent
        && !evacuated
        && renewable
        && now - lastAnswerAt <= MAX_RESEND_ANSWER_AGE_MILLIS;
  }

  /** Returns whether the worker may get orders for any task. */
  boolean acceptsOrders(long now) {
    return trialUnit == null && isUsable(now);
  }

  /** Returns whether the worker may get orders for the task that it is reserved for. */
  boolean isUsable(long now) {
    return listed
        && incarnation.isDescribed()
        && answeredRecently(now)
        && hasAnswered
        && onRoster
        && isOpen()
        && !silent
        && !entry.draining()
        && !evacuated
        && now >= quarantinedUntil
        && now >= fullUntil
        && now >= slowBackoffUntil
        && clockReading != NO_READING;
  }
}
