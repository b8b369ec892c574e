package org.hickorypier.core.cell;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.model.Resources;

/**
 * What the owner believes of one worker.
 *
 * <p>Invariant: the sum of {@code runs} and claims is what may be in use there. A run leaves only
 * when the worker has said that it ended or never came, when it has a new life or has left, when
 * every lease ever sent has expired, or, before it was first heard, when the former owner says that
 * it left nothing there.
 *
 * <p>A worker is open or closed to orders ({@code closedAfter}), and its lease is renewed or runs
 * out. A successor reads both from the roster, so orders wait for {@code onRoster}, and renewals
 * after a long silence for {@code renewable}. Belongs to the control thread.
 */
public final class WorkerView {

  /** A new clock reading is taken with each renewal; without one no order can carry a deadline. */
  private static final long NO_READING = -1;

  /**
   * A worker answers at least once a second. One not heard for three times that, for instance since
   * this owner could not prove its ownership, may have died and come back meanwhile.
   */
  private static final long FRESH_MILLIS = 3_000;

  /** A worker answers at least twice in this time, and takes longer to start again. */
  private static final long REPEAT_MILLIS = 1_000;

  /** A lost answer is repeated well within this time; a worker silent for longer may be lost. */
  private static final long LONG_SILENCE_MILLIS = 500;

  final Map<RunKey, Run> runs = new LinkedHashMap<>();

  private WorkerEntry entry;
  boolean listed;
  long bornMillis;

  /** It has answered a renewal under this owner's token. */
  boolean heard;

  /** It is on the durable roster, so that a successor knows to ask it. */
  boolean onRoster;

  /** It may run what an earlier owner ordered and nobody has named. */
  boolean runsUnknown;

  /** When every lease that earlier owners gave has expired, on the owner's steady clock. */
  long earlierLeasesEnd;

  /**
   * The number of the last submission of which it may hold runs, if it gets no orders any more;
   * {@link RosterEntry#OPEN} while it may get orders.
   */
  long closedAfter = RosterEntry.OPEN;

  /** It runs nothing and gets nothing, so it was taken off the roster. */
  boolean retired;

  /** The last renewal had no answer. */
  boolean silent;

  long silentSince;
  long heardAt;

  /** No roster that a successor may read tells that the lease runs out. */
  boolean renewable = true;

  /** The roster that was handed over last tells that its lease runs out. */
  boolean runsOutOnRoster;

  /** Orders without an answer, with the time they were sent: each may yet be carried out. */
  final Map<RunKey, Long> unanswered = new LinkedHashMap<>();

  /** Runs that a new life of the worker must refuse, until it has taken the stops. */
  final Set<RunKey> refusals = new LinkedHashSet<>();

  long clockReading = NO_READING;
  long clockReadAt;
  long highestDeadline;

  /** Ends up to this number have been taken in. */
  long endsTaken;

  /** Runs whose end was taken in and is not durable: a successor must hear it from the worker. */
  final Set<RunKey> unsavedEnds = new LinkedHashSet<>();

  /** Ends up to this number are durable, and may be forgotten by the worker. */
  long endsDurable;

  private long usedProcessors;
  private long usedMemory;
  private long usedAccelerators;
  private long claimedProcessors;
  private long claimedMemory;

  /** It has taken itself off the list, and leaves as soon as it does not answer any more. */
  boolean departed;

  int failureStreak;
  long quarantinedUntil;
  long fullUntil;

  /** How long tasks take on its kind, against other kinds; see {@link LearnedSpeed}. */
  double kindFactor = 1;

  /** It was found slow: it gets nothing until then. */
  long shunnedUntil;

  /** How often in a row it was found slow. */
  int slowStreak;

  WorkerView(WorkerEntry entry) {
    this.entry = entry;
    this.bornMillis = entry.bornMillis();
  }

  /**
   * Returns the worker's id.
   *
   * @return the id
   */
  public String id() {
    return entry.id();
  }

  /**
   * Returns what the worker last said of itself.
   *
   * @return the entry
   */
  public WorkerEntry entry() {
    return entry;
  }

  /**
   * Returns up to which number its ends may be forgotten. A worker that left a renewal without an
   * answer may have a new life, which counts its ends anew: told the old number, it would forget
   * ends that nobody has seen, and their tasks would run twice. So it is told 0 until it has shown
   * its life.
   *
   * @param now the time
   * @return the number
   */
  public long acknowledged(long now) {
    return silent || !fresh(now) ? 0 : endsDurable;
  }

  /**
   * Tells whether its last renewal had no answer.
   *
   * @return true while it is silent
   */
  public boolean silent() {
    return silent;
  }

  /**
   * Notes an answer under this owner's token, after which it takes no renewal of an earlier one.
   */
  void answered(long clockMillis, long longestLeaseMillis, long now) {
    if (!heard) {
      earlierLeasesEnd = Math.min(earlierLeasesEnd, now + longestLeaseMillis);
    }
    heard = true;
    silent = false;
    heardAt = now;
    clockReading = clockMillis;
    clockReadAt = now;
  }

  /** Notes that a renewal had no answer. */
  void unanswered(long now) {
    if (!silent) {
      silentSince = now;
    }
    silent = true;
  }

  /** Begins a new life, which knows nothing of before and counts anew. */
  void begin(long born) {
    bornMillis = born;
    endsTaken = 0;
    endsDurable = 0;
    unsavedEnds.clear();
    highestDeadline = 0;
    earlierLeasesEnd = 0;
    failureStreak = 0;
    quarantinedUntil = 0;
    shunnedUntil = 0;
    slowStreak = 0;
  }

  void update(WorkerEntry newer) {
    this.entry = newer;
    this.listed = true;
  }

  /** Estimates the worker's clock from below; -1 without a reading. */
  long clockAt(long now) {
    return clockReading == NO_READING ? NO_READING : clockReading + (now - clockReadAt);
  }

  /**
   * Returns the deadline for a renewal that is sent now, and remembers it. A worker that left the
   * last renewal without an answer gets none: otherwise each attempt would put off the moment when
   * its tasks can be given to others. Neither does one whose lease runs out for all that a
   * successor can read, nor one that was not heard for a while: it may have a new life and clock.
   *
   * @param now the time
   * @param leaseMillis the length of the lease
   * @return the deadline on the worker's clock, or -1 for a renewal that only asks
   */
  public long nextDeadline(long now, long leaseMillis) {
    if (clockReading == NO_READING || !fresh(now) || silent || !renewable) {
      return -1;
    }
    long deadline = clockAt(now) + leaseMillis;
    highestDeadline = Math.max(highestDeadline, deadline);
    return deadline;
  }

  /** Returns when every lease ever sent has expired, on the owner's steady clock. */
  long leaseEnd() {
    if (clockReading == NO_READING || highestDeadline <= clockReading) {
      return Math.max(clockReadAt, earlierLeasesEnd);
    }
    double remaining = (highestDeadline - clockReading) / CellTimings.SLOWEST_CLOCK_RATE;
    long ownLeasesEnd = clockReadAt + Math.round(remaining) + CellTimings.LEASE_MARGIN_MILLIS;
    return Math.max(ownLeasesEnd, earlierLeasesEnd);
  }

  void add(Run run) {
    runs.put(run.key, run);
    use(run.size, 1);
  }

  void remove(Run run) {
    if (runs.remove(run.key) != null) {
      use(run.size, -1);
    }
  }

  private void use(Resources size, int sign) {
    usedProcessors += sign * size.milliProcessors();
    usedMemory += sign * size.memoryMebibytes();
    usedAccelerators += (long) sign * size.accelerators();
  }

  void claim(Resources size, int sign) {
    claimedProcessors += sign * size.milliProcessors();
    claimedMemory += sign * size.memoryMebibytes();
  }

  long freeProcessors() {
    return entry.capacity().milliProcessors() - usedProcessors - claimedProcessors;
  }

  long freeMemory() {
    return entry.capacity().memoryMebibytes() - usedMemory - claimedMemory;
  }

  long freeAccelerators() {
    return entry.capacity().accelerators() - usedAccelerators;
  }

  private boolean fresh(long now) {
    return now - heardAt <= FRESH_MILLIS;
  }

  boolean open() {
    return closedAfter == RosterEntry.OPEN;
  }

  /** Tells whether it is to get no orders for a while, which a successor should know. */
  boolean closing(long now) {
    return entry.draining() || silentForLong(now);
  }

  /** Tells whether it gets no renewal: it was never heard, or not for long. */
  boolean leaseRunsOut(long now) {
    return !heard || silentForLong(now);
  }

  /** Tells whether it may be lost, so that its lease is left to run out. */
  boolean silentForLong(long now) {
    return silent && now - silentSince >= LONG_SILENCE_MILLIS;
  }

  /**
   * Tells whether a renewal should wait for the roster that allows it.
   *
   * @return true while the lease may not be renewed though the worker answers
   */
  public boolean waitsForRoster() {
    return heard && !silent && !renewable;
  }

  /** Tells whether nothing is there and nothing is on its way. */
  boolean empty() {
    return runs.isEmpty() && unsavedEnds.isEmpty() && unanswered.isEmpty() && refusals.isEmpty();
  }

  /**
   * Tells whether an order without an answer may be sent to it again. A worker that was not heard
   * for a while may have a new life, whose clock the order's deadline does not bound.
   */
  boolean takesRepeats(long now) {
    return !silent && renewable && now - heardAt <= REPEAT_MILLIS;
  }

  boolean takesWork(long now) {
    return listed
        && fresh(now)
        && heard
        && onRoster
        && open()
        && !silent
        && !entry.draining()
        && now >= quarantinedUntil
        && now >= fullUntil
        && now >= shunnedUntil
        && clockReading != NO_READING;
  }
}
