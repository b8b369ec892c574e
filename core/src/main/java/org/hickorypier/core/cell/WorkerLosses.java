package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The losses of workers of late, from which a crash of many workers at once is told from crashes
 * that a task causes.
 *
 * <p>Invariant: workers that ran only a task under observation are left out, since they are no sign
 * of another cause. Confined to the control thread.
 */
final class WorkerLosses {

  /** Workers that fall silent within this time of each other may have a common cause. */
  private static final long COMMON_CAUSE_MILLIS = 500;

  /** Number of other workers from which on a loss counts as part of a larger one. */
  private static final int MIN_OTHERS = 2;

  /** Number of lost runs of a task that may explain the loss of a worker where it ran. */
  private static final int EXPLAINING_LOSSES = 2;

  /** Span around a loss in which others happen at the same time, in milliseconds. */
  static final long TOGETHER_MILLIS = 2 * COMMON_CAUSE_MILLIS;

  /** Time over which the rate of losses is taken, since causes of losses come and go. */
  private static final long RATE_MILLIS = 60_000;

  /**
   * Losses, and the time of one worker, that count in addition to those observed. A takeover begins
   * with a rate of one loss in ten minutes, which few losses suffice to correct.
   */
  private static final double PRIOR_LOSSES = 0.1;

  private static final long PRIOR_WORKER_MILLIS = 60_000;

  /** Time without losses after which the workers count as calm. */
  private static final long CALM_MILLIS = 5_000;

  private static final long RETENTION_MILLIS = 120_000;

  private final List<Loss> losses = new ArrayList<>();

  /** The loss of a worker, with the tasks that ran there; gangs by their first member. */
  private record Loss(long silentSince, Set<Task> units) {

    boolean isExplainedWithout(Task unit) {
      return units.stream()
          .anyMatch(
              each ->
                  each != unit
                      && each.crashes != null
                      && each.crashes.seenLosses() >= EXPLAINING_LOSSES);
    }
  }

  void record(WorkerView worker, long silentSince, long now) {
    losses.removeIf(each -> now - each.silentSince > RETENTION_MILLIS);
    Set<Task> units = new HashSet<>();
    for (Run run : worker.runs.values()) {
      if (run.task != null) {
        units.add(run.task.crashUnit());
      }
    }
    losses.add(new Loss(silentSince, units));
  }

  /**
   * Returns whether several other workers were lost at about that time, and not under tasks that
   * lost more runs.
   */
  boolean hasCommonCause(Task unit, long silentSince) {
    return countTogether(unit, silentSince) >= MIN_OTHERS;
  }

  private long countTogether(Task unit, long silentSince) {
    return losses.stream()
        .filter(each -> Math.abs(each.silentSince - silentSince) <= COMMON_CAUSE_MILLIS)
        .filter(each -> !each.isExplainedWithout(unit))
        .count();
  }

  /**
   * Returns the share of the workers that were lost at about that time with a common cause.
   *
   * @param workers the number of workers
   */
  double shareLostTogether(Task unit, long silentSince, int workers) {
    long others = countTogether(unit, silentSince);
    return others < MIN_OTHERS ? 0 : Math.min(1, (double) others / Math.max(1, workers));
  }

  /**
   * Returns the rate at which a worker is lost for reasons other than a task, per millisecond.
   *
   * @param unit the task
   * @param workers the number of workers
   * @param since when the losses began to be recorded, in milliseconds
   */
  double lossesPerMilli(Task unit, int workers, long since, long now) {
    long observedMillis = Math.min(RATE_MILLIS, now - since);
    long lost =
        losses.stream()
            .filter(each -> now - each.silentSince <= RATE_MILLIS)
            .filter(each -> !each.units.contains(unit) && !each.isExplainedWithout(unit))
            .count();
    return (lost + PRIOR_LOSSES) / (workers * observedMillis + PRIOR_WORKER_MILLIS);
  }

  boolean hasAnySince(long time) {
    return losses.stream().anyMatch(each -> each.silentSince >= time);
  }

  boolean isCalm(long now) {
    return losses.stream().noneMatch(each -> now - each.silentSince < CALM_MILLIS);
  }
}
