package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.hickorypier.core.model.WorkKey;

/**
 * Keeps work off workers that fail every task, and limits the work on slow workers.
 *
 * <p>A worker that fails each task at once always looks idle, so it would attract and fail the work
 * of all teams. After several consecutive work items end badly on a worker with no good end in
 * between, the worker gets no work for a quarantine period and then one task at a time. A good end
 * restores it to full use; a bad end doubles the period. Work that also failed on other workers
 * does not count against a worker. Only a fraction of the workers can be in quarantine at once, so
 * faulty work cannot take the whole fleet out of service.
 *
 * <p>A worker whose tasks take several times as long as the same tasks elsewhere gets one task at a
 * time. That limits the callers it delays to one, and its run times still show when it has
 * recovered.
 *
 * <p>Not thread-safe.
 */
final class Quarantine {

  /**
   * The completed runs before run times are trusted, so that one long task does not mark a worker
   * as slow.
   */
  private static final int MIN_RUNS = 8;

  /**
   * A worker returns to full use below this fraction of the slowness limit, so that a worker near
   * the limit does not flap.
   */
  private static final double RECOVERY_FRACTION = 0.5;

  /**
   * The weight of a run in the mean of the fleet; the mean covers hundreds of tasks, so that one
   * worker hardly changes it.
   */
  private static final double FLEET_SMOOTHING = 0.005;

  /** Declared run times are often far off, and a ratio beyond this limit adds no information. */
  private static final double MAX_LOG_RATIO = Math.log(20);

  private final SchedulerSettings settings;
  private final Fleet fleet;
  private final WorkHistory history;
  private final PriorityQueue<WorkerState> quarantinedByReleaseTime =
      new PriorityQueue<>(
          Comparator.comparingLong(worker -> worker.health().quarantinedUntilMillis()));
  private double fleetLogSlowness;
  private int fleetRuns;
  private int quarantinedCount;

  Quarantine(SchedulerSettings settings, Fleet fleet, WorkHistory history) {
    this.settings = settings;
    this.fleet = fleet;
    this.history = history;
  }

  /**
   * Records the end of a task, after its room was freed and the history of its work was updated.
   */
  void recordTaskEnd(WorkerState worker, Reservation reservation, TaskEnd end, long now) {
    if (end == TaskEnd.STOPPED) {
      return;
    }
    if (end == TaskEnd.COMPLETED) {
      recordGoodEnd(worker, reservation, now);
    } else {
      recordBadEnd(worker, reservation.task().taskId().key(), now);
    }
    fleet.reindex(worker);
  }

  /** Moves the workers whose quarantine is over to probing and returns them. */
  List<WorkerState> releaseDue(long now) {
    List<WorkerState> released = List.of();
    while (!quarantinedByReleaseTime.isEmpty()
        && quarantinedByReleaseTime.peek().health().quarantinedUntilMillis() <= now) {
      WorkerState worker = quarantinedByReleaseTime.poll();
      quarantinedCount--;
      worker.health().setState(WorkerHealth.State.PROBING);
      fleet.reindex(worker);
      released = released.isEmpty() ? new ArrayList<>() : released;
      released.add(worker);
    }
    return released;
  }

  void removeWorker(WorkerState worker) {
    if (quarantinedByReleaseTime.remove(worker)) {
      quarantinedCount--;
    }
  }

  private void recordGoodEnd(WorkerState worker, Reservation reservation, long now) {
    WorkerHealth health = worker.health();
    health.recordGoodEnd();
    if (reservation.expectedRunMillis() > 0) {
      long run = Math.max(1, now - reservation.startedMillis());
      double logRatio = Math.log((double) run / reservation.expectedRunMillis());
      double bounded = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
      health.recordRunTime(bounded);
      fleetRuns++;
      fleetLogSlowness += Math.max(FLEET_SMOOTHING, 1.0 / fleetRuns) * (bounded - fleetLogSlowness);
    }
    if (health.state() != WorkerHealth.State.QUARANTINED) {
      health.setState(isSlow(health) ? WorkerHealth.State.PROBING : WorkerHealth.State.GOOD);
    }
  }

  private boolean isSlow(WorkerHealth health) {
    if (health.runs() < MIN_RUNS) {
      return false;
    }
    double excess = health.logSlowness() - fleetLogSlowness;
    double limit = Math.log(settings.slowFactor());
    boolean probing = health.state() == WorkerHealth.State.PROBING;
    return excess > (probing ? limit * RECOVERY_FRACTION : limit);
  }

  private void recordBadEnd(WorkerState worker, WorkKey key, long now) {
    WorkerHealth health = worker.health();
    if (history.failedWorkers(key).size() > 1 || health.state() == WorkerHealth.State.QUARANTINED) {
      return;
    }
    int consecutiveBadEnds = health.recordBadEnd(key);
    boolean probeFailed = health.state() == WorkerHealth.State.PROBING;
    if ((probeFailed || consecutiveBadEnds >= settings.badEndsLimit()) && canQuarantineAnother()) {
      health.quarantine(now, settings.quarantineMillis(), settings.longestQuarantineMillis());
      quarantinedByReleaseTime.add(worker);
      quarantinedCount++;
    }
  }

  private boolean canQuarantineAnother() {
    int limit = Math.max(1, (int) (fleet.size() * settings.quarantinePart()));
    return fleet.size() > 1 && quarantinedCount < limit;
  }
}
