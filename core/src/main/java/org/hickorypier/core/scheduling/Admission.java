package org.hickorypier.core.scheduling;

import java.util.Optional;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;

/**
 * Decides at submission whether work is accepted, and refuses work that cannot start before its
 * deadline, so that the caller can react at once.
 *
 * <p>It handles bursts of one team and demand above the capacity. The queue limit confines a burst
 * to its own team and class. The wait estimate keeps accepted work within its deadline, so that no
 * capacity goes to work whose caller has stopped waiting.
 *
 * <p>Not thread-safe.
 */
final class Admission {

  /** A retry sooner than this costs more than it gains. */
  private static final long MIN_RETRY_AFTER_MILLIS = 200;

  /** A longer estimate carries no information, so the caller should ask again. */
  private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

  /**
   * A futile wait for capacity elsewhere must leave most of the time before the deadline; it takes
   * at most one eighth.
   */
  private static final int PATIENCE_DEADLINE_DIVISOR = 8;

  private final SchedulerSettings settings;
  private final WorkerCapacities capacities;
  private final WorkHistory history;
  private final WaitEstimate waitEstimate;

  Admission(
      SchedulerSettings settings,
      WorkerCapacities capacities,
      WorkHistory history,
      WaitEstimate waitEstimate) {
    this.settings = settings;
    this.capacities = capacities;
    this.history = history;
    this.waitEstimate = waitEstimate;
  }

  /** Returns the reason to refuse the item, or empty if it may be queued. */
  Optional<Refusal> refusalFor(WorkItem item, TeamState team, long now) {
    Optional<String> neverFits = capacities.explainNeverFits(item);
    if (neverFits.isPresent()) {
      return refusal(RefusalReason.NEVER_FITS, neverFits.get(), 0);
    }
    if (failsEverywhere(item.key())) {
      return Optional.of(failsEverywhereRefusal(item.key()));
    }
    long remaining = item.deadlineMillis() - now;
    if (remaining < 0) {
      return refusal(RefusalReason.DEADLINE_PASSED, "The deadline has already passed.", 0);
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
              + " ms, with the margin "
              + safeWait
              + " ms, and the deadline is in "
              + remaining
              + " ms.";
      return refusal(
          RefusalReason.DEADLINE_TOO_NEAR, detail, boundedRetryAfterMillis(safeWait - remaining));
    }
    return Optional.empty();
  }

  // Early in the wait of the queue's head, permits may still arrive from the log, and the work
  // shifter may not have looked for room at peers yet. The estimate covers only the local workers
  // and the present permits, so it would refuse callers in the first second of a burst while
  // workers are idle.
  private boolean mayFindRoomElsewhere(WorkItem item, TeamState team, long now) {
    QueuedItem head = team.queue(item.workClass()).head();
    long waited = head == null ? 0 : now - head.item().firstTriedMillis();
    long remaining = item.deadlineMillis() - now;
    return waited < Math.min(settings.shiftPatienceMillis(), remaining / PATIENCE_DEADLINE_DIVISOR);
  }

  /** Tells whether work has failed on so many workers that the work itself is at fault. */
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
