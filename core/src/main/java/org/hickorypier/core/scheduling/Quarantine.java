package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.hickorypier.core.model.WorkKey;

/**
 * Keeps work away from workers that fail everything they start, and little work on slow ones.
 *
 * <p>Made for a worker that fails each task in an instant: it always looks idle and would attract
 * and fail the work of all. After several works in a row ended badly there, without a good end
 * between them, it gets none for a while, then one task at a time; a good end makes it whole again,
 * a bad one doubles the while. Work that failed on other workers too is not held against it, and
 * only a part of the workers can be in quarantine at once, so faulty work cannot close the fleet.
 *
 * <p>A worker whose tasks take several times as long as the same tasks elsewhere gets one at a
 * time. That bounds the callers it delays to one, and its run times still tell when it has
 * recovered.
 *
 * <p>Not thread safe.
 */
final class Quarantine {

  /** Ends before run times are trusted: enough that one long task does not condemn a worker. */
  private static final int MIN_RUNS = 8;

  /** Back to full use below this part of the factor, so a worker at the edge does not flap. */
  private static final double RECOVERY_FRACTION = 0.5;

  /** The weight of a run in the fleet's mean: hundreds of tasks, so one worker hardly moves it. */
  private static final double FLEET_SMOOTHING = 0.005;

  /** Declared run times are often far off; ratios beyond this say no more. */
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

  /** Takes in the end of a task, after its room was freed and its work's history updated. */
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

  /** Puts the workers whose quarantine is over on probation and returns them. */
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
    double slower = health.logSlowness() - fleetLogSlowness;
    double limit = Math.log(settings.slowFactor());
    boolean already = health.state() == WorkerHealth.State.PROBING;
    return slower > (already ? limit * RECOVERY_FRACTION : limit);
  }

  private void recordBadEnd(WorkerState worker, WorkKey key, long now) {
    WorkerHealth health = worker.health();
    if (history.failedWorkers(key).size() > 1 || health.state() == WorkerHealth.State.QUARANTINED) {
      return;
    }
    int inRow = health.recordBadEnd(key);
    boolean probeFailed = health.state() == WorkerHealth.State.PROBING;
    if ((probeFailed || inRow >= settings.badEndsLimit()) && canQuarantineAnother()) {
      health.quarantine(now, settings.quarantineMillis(), settings.longestQuarantineMillis());
      quarantinedByReleaseTime.add(worker);
      quarantinedCount++;
    }
  }

  private boolean canQuarantineAnother() {
    int most = Math.max(1, (int) (fleet.size() * settings.quarantinePart()));
    return fleet.size() > 1 && quarantinedCount < most;
  }
}
