package org.hickorypier.core.estimation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates how the run times of tasks on different workers relate.
 *
 * <p>Workers of one kind may differ by a factor of 2.4, tasks of one step by 0.3, and three in a
 * hundred tasks take seven times the usual time. Each run time is therefore compared with the
 * median of its step, corrected by the speeds of the workers where the others ran, and each
 * worker's figure is a mean without outliers. The speeds and the references depend on each other,
 * so they are computed in a few alternating sweeps. Needs no estimates by callers. A wrong figure
 * costs time, never correctness.
 *
 * <p>Invariant: all factors are from {@link #MIN_FACTOR} to {@link #MAX_FACTOR}. Mutable; confined
 * to the control thread.
 */
public final class WorkerSpeedEstimator {

  /** The smallest factor; a worker that seems faster was given shorter tasks. */
  public static final double MIN_FACTOR = 0.25;

  /** The largest factor; a worker that seems slower is disturbed, which is not its nature. */
  public static final double MAX_FACTOR = 4;

  /**
   * Minimum time between two computations, in milliseconds. At 100 ends a second it saves nine
   * computations in ten, and a new figure is still in use within the run time of the shortest task.
   */
  private static final long REFRESH_MILLIS = 100;

  /** Number of alternating sweeps of a computation; the next one continues with its result. */
  private static final int SWEEPS = 3;

  /**
   * Part of the way to the new figures in one sweep. With whole steps, two workers that are
   * compared with each other only would exchange their figures for ever.
   */
  private static final double DAMPING = 0.5;

  /** Time after which a worker that is no longer listed is forgotten, in milliseconds. */
  private static final long UNUSED_MILLIS = 60_000;

  private final boolean byWorker;
  private final Map<String, WorkerRating> ratings = new HashMap<>();
  private final Map<String, WorkerSpeed> restored = new HashMap<>();
  private final Map<KindKey, KindFigure> kinds = new HashMap<>();
  private long sweep;
  private long refreshedAt = Long.MIN_VALUE / 2;
  private boolean changed;

  /** Identifies the workers of one kind in one service. */
  private record KindKey(String service, String kind) {}

  /** The mean of the factors of one service's workers. */
  private static final class Mean {
    private double sum;
    private int count;
  }

  /**
   * Creates an estimator without samples.
   *
   * @param byWorker whether each worker has its own figure; otherwise it has that of its kind
   */
  public WorkerSpeedEstimator(boolean byWorker) {
    this.byWorker = byWorker;
  }

  /**
   * Returns whether each worker has its own figure.
   *
   * @return false if all workers of a kind have the same figure
   */
  public boolean isByWorker() {
    return byWorker;
  }

  /**
   * Returns the rating of a worker. It starts with the figure of the kind when the worker is new,
   * was restarted or has another kind than before.
   *
   * @param id the worker's id
   * @param service the worker's service
   * @param kind the worker's kind
   * @param bornMillis the start of the worker's incarnation, in milliseconds since 1970
   * @param now the time, in milliseconds
   * @return the rating, which is updated as runs end
   */
  public WorkerRating rating(String id, String service, String kind, long bornMillis, long now) {
    WorkerRating rating = ratings.get(id);
    if (rating == null || !rating.describes(service, kind, bornMillis)) {
      KindFigure figure =
          kinds.computeIfAbsent(new KindKey(service, kind), key -> new KindFigure());
      rating = new WorkerRating(id, service, kind, bornMillis, figure);
      rating.setLogFactor(figure.logFactor());
      WorkerSpeed earlier = restored.remove(id);
      if (earlier != null
          && rating.describes(earlier.service(), earlier.kind(), earlier.bornMillis())) {
        rating.restore(earlier, now);
        changed = true;
      }
      if (!byWorker) {
        rating.useFactorOfKind();
      }
      WorkerRating replaced = ratings.put(id, rating);
      if (replaced != null) {
        replaced.dropSamples();
      }
    }
    rating.usedAt = now;
    return rating;
  }

  /**
   * Adds the run time of a completed run.
   *
   * @param worker the worker of the run
   * @param step the run times of the same step
   * @param millis the run time, in milliseconds
   * @param now the time, in milliseconds
   */
  public void recordRun(WorkerRating worker, StepSamples step, long millis, long now) {
    double logMillis = Math.log(Math.max(1, millis));
    step.add(worker, logMillis);
    worker.add(step, logMillis, now);
    changed = true;
  }

  /**
   * Computes the figures again if runs have ended since the last time.
   *
   * @param now the time, in milliseconds
   */
  public void refresh(long now) {
    if (!changed || now - refreshedAt < REFRESH_MILLIS) {
      return;
    }
    changed = false;
    refreshedAt = now;
    ratings
        .values()
        .removeIf(
            rating -> {
              boolean unused = now - rating.usedAt > UNUSED_MILLIS;
              if (unused) {
                rating.dropSamples();
              }
              return unused;
            });
    for (int count = 0; count < SWEEPS; count++) {
      sweep(now);
    }
    if (!byWorker) {
      for (WorkerRating rating : ratings.values()) {
        rating.useFactorOfKind();
      }
    }
  }

  private void sweep(long now) {
    sweep++;
    for (WorkerRating rating : ratings.values()) {
      rating.compare(sweep, now);
    }
    for (WorkerRating rating : ratings.values()) {
      double target = rating.estimate(now);
      rating.setLogFactor(rating.logFactor + DAMPING * (target - rating.logFactor));
    }
    normalize();
    updateKinds();
  }

  /** Scales the factors so that 1 is the mean of each service. */
  private void normalize() {
    Map<String, Mean> means = new HashMap<>();
    for (WorkerRating rating : ratings.values()) {
      Mean mean = means.computeIfAbsent(rating.service, service -> new Mean());
      mean.sum += Math.exp(rating.logFactor);
      mean.count++;
    }
    for (WorkerRating rating : ratings.values()) {
      Mean mean = means.get(rating.service);
      rating.setLogFactor(rating.logFactor - Math.log(mean.sum / mean.count));
    }
  }

  private void updateKinds() {
    kinds.values().forEach(KindFigure::clear);
    for (WorkerRating rating : ratings.values()) {
      rating.kindFigure.add(rating.logFactor, Math.min(1, rating.samples()));
    }
  }

  /**
   * Returns what is known of the workers, for a successor.
   *
   * @return the speeds of the workers that have samples
   */
  public List<WorkerSpeed> speeds() {
    List<WorkerSpeed> speeds = new ArrayList<>();
    for (WorkerRating rating : ratings.values()) {
      if (rating.samples() > 0) {
        speeds.add(rating.toSpeed());
      }
    }
    return speeds;
  }

  /**
   * Starts with the figures of an earlier owner. Each counts as at most two samples, and not at all
   * if the worker was restarted or has another kind since.
   *
   * @param speeds the speeds
   */
  public void restore(Collection<WorkerSpeed> speeds) {
    for (WorkerSpeed speed : speeds) {
      restored.put(speed.id(), speed);
    }
  }
}
