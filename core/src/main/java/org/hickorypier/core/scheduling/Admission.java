package org.hickorypier.core.scheduling;

import java.util.Optional;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;

/**
 * Refuses at once what cannot start in time, so that its caller can act on it.
 *
 * <p>Made for bursts of one team, and for a demand above the capacity. The queue limit keeps a
 * burst inside its own team and class; the estimate keeps the accepted work within its deadlines,
 * so no place is spent on work that nobody waits for any more.
 *
 * <p>Not thread safe.
 */
final class Admission {

  /** Below it, a caller that comes back costs more than it gains. */
  private static final long MIN_RETRY_AFTER_MILLIS = 200;

  /** Above it, an estimate says nothing any more, and a caller should look again. */
  private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

  /** What is waited in vain for room elsewhere must leave most of the time until the deadline. */
  private static final int PATIENCE_DEADLINE_DIVISOR = 8;

  private final SchedulerSettings settings;
  private final Capacities capacities;
  private final WorkHistory history;
  private final WaitEstimate waitEstimate;

  Admission(
      SchedulerSettings settings,
      Capacities capacities,
      WorkHistory history,
      WaitEstimate waitEstimate) {
    this.settings = settings;
    this.capacities = capacities;
    this.history = history;
    this.waitEstimate = waitEstimate;
  }

  /** Returns why the item is refused, or empty if it may be queued. */
  Optional<Refusal> refusalFor(WorkItem item, TeamState team, long now) {
    Optional<String> neverFits = capacities.whyNeverFits(item);
    if (neverFits.isPresent()) {
      return refusal(RefusalReason.NEVER_FITS, neverFits.get(), 0);
    }
    if (failsEverywhere(item.key())) {
      return Optional.of(failsEverywhereRefusal(item.key()));
    }
    long remaining = item.deadlineMillis() - now;
    if (remaining < 0) {
      return refusal(RefusalReason.DEADLINE_PASSED, "The deadline has passed already.", 0);
    }
    long wait = waitEstimate.estimateMillis(item, team, now);
    if (team.queue(item.workClass()).size() >= settings.queueLimit()) {
      String detail = "The team has " + settings.queueLimit() + " items waiting in this class.";
      return refusal(RefusalReason.QUEUE_FULL, detail, boundedRetryAfterMillis(wait / 2));
    }
    long safeWait = (long) (wait * settings.waitMargin());
    if (safeWait > remaining && !mayFindRoomElsewhere(item, team, now)) {
      String detail =
          "The estimated wait is "
              + wait
              + " ms, with a margin "
              + safeWait
              + " ms, the deadline in "
              + remaining
              + " ms.";
      return refusal(
          RefusalReason.DEADLINE_TOO_NEAR, detail, boundedRetryAfterMillis(safeWait - remaining));
    }
    return Optional.empty();
  }

  // While the first of the queue has hardly waited, permits may be on their way from the log and
  // the
  // shifter has not yet looked for room at peers. The estimate knows only own workers and present
  // permits; used at once it sent callers away beside idle workers in the first second of a burst.
  private boolean mayFindRoomElsewhere(WorkItem item, TeamState team, long now) {
    QueuedItem head = team.queue(item.workClass()).head();
    long waited = head == null ? 0 : now - head.item().firstTriedMillis();
    long remaining = item.deadlineMillis() - now;
    return waited < Math.min(settings.shiftPatienceMillis(), remaining / PATIENCE_DEADLINE_DIVISOR);
  }

  /** Tells whether work has failed on so many workers that it is at fault itself. */
  boolean failsEverywhere(WorkKey key) {
    return history.failedWorkers(key).size() >= settings.failedWorkersLimit();
  }

  Refusal failsEverywhereRefusal(WorkKey key) {
    String detail =
        "Its tasks failed on " + history.failedWorkers(key).size() + " different workers.";
    return new Refusal(RefusalReason.FAILS_EVERYWHERE, detail, 0);
  }

  private static long boundedRetryAfterMillis(long millis) {
    return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
  }

  private static Optional<Refusal> refusal(RefusalReason reason, String detail, long retryAfter) {
    return Optional.of(new Refusal(reason, detail, retryAfter));
  }
}
