package org.hickorypier.core.scheduling;

import java.util.Optional;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkItem;

/**
 * Refuses at once what cannot start in time, so that its caller can act on it.
 *
 * <p>Not thread safe.
 */
final class Admission {

  /** A guess for a full queue whose drain rate is not known yet. */
  private static final long UNKNOWN_WAIT_MILLIS = 1_000;

  private final SchedulerSettings settings;
  private final Capacities capacities;
  private final WorkHistory history;

  Admission(SchedulerSettings settings, Capacities capacities, WorkHistory history) {
    this.settings = settings;
    this.capacities = capacities;
    this.history = history;
  }

  /** Returns why the item is refused, or empty if it may be queued. */
  Optional<Refusal> refuse(WorkItem item, TeamState team, long now) {
    Optional<String> neverFits = capacities.whyNeverFits(item);
    if (neverFits.isPresent()) {
      return refusal(RefusalReason.NEVER_FITS, neverFits.get(), 0);
    }
    int failedOn = history.failedOn(item.key()).size();
    if (failedOn >= settings.failedWorkersLimit()) {
      String detail = "Its tasks failed on " + failedOn + " different workers.";
      return refusal(RefusalReason.FAILS_EVERYWHERE, detail, 0);
    }
    if (item.deadlineMillis() < now) {
      return refusal(RefusalReason.DEADLINE_PASSED, "The deadline has passed already.", 0);
    }
    if (team.queue(item.workClass()).size() >= settings.queueLimit()) {
      String detail = "The team has " + settings.queueLimit() + " items waiting in this class.";
      return refusal(RefusalReason.QUEUE_FULL, detail, UNKNOWN_WAIT_MILLIS);
    }
    return Optional.empty();
  }

  private static Optional<Refusal> refusal(RefusalReason reason, String detail, long retryAfter) {
    return Optional.of(new Refusal(reason, detail, retryAfter));
  }
}
