package org.hickorypier.core.cell;

/**
 * Pace of a run, computed from the progress that its worker reports.
 *
 * <p>Only the latest samples count, since a worker may become slow or stall in the middle of a run.
 * Confined to the control thread.
 */
final class RunPace {

  /** Remaining time of a run that makes no progress, in milliseconds. */
  static final long NEVER_MILLIS = Long.MAX_VALUE / 4;

  private static final int WHOLE_PERCENT = 100;

  /**
   * Longest time for which a run without progress counts as restoring a checkpoint. Restoring takes
   * up to 0.6 s on the users' installations.
   */
  private static final long MAX_RESTORE_MILLIS = 1_500;

  private boolean restoring;
  private Sample first;
  private Sample start;
  private Sample oldest;
  private Sample middle;
  private Sample newest;
  private Sample lastGain;

  /** Progress of the run at a time of its worker's clock. */
  private record Sample(long clockMillis, int percent) {}

  /**
   * Creates the pace of a run without samples.
   *
   * @param resumed whether the run restores a checkpoint first; its pace then counts only once the
   *     run makes progress or the maximum restore time has passed
   */
  RunPace(boolean resumed) {
    this.restoring = resumed;
  }

  /**
   * Adds a progress report.
   *
   * @param clockMillis the worker's clock, in milliseconds
   * @param percent the progress, from 0 to 100
   * @param windowMillis the minimum time over which the pace is computed, in milliseconds
   */
  void addSample(long clockMillis, int percent, long windowMillis) {
    Sample sample = new Sample(clockMillis, percent);
    if (restoring) {
      first = first == null ? sample : first;
      restoring = percent <= first.percent && clockMillis - first.clockMillis < MAX_RESTORE_MILLIS;
      oldest = restoring ? null : sample;
    } else if (oldest == null) {
      oldest = sample;
    } else if (middle == null) {
      middle = clockMillis - oldest.clockMillis >= windowMillis ? sample : null;
    } else if (clockMillis - middle.clockMillis >= windowMillis) {
      oldest = middle;
      middle = sample;
    }
    start = start == null ? oldest : start;
    if (lastGain == null || sample.percent > lastGain.percent) {
      lastGain = sample;
    }
    newest = sample;
  }

  /**
   * Returns whether the samples span enough time to compute a pace.
   *
   * @param windowMillis the minimum time, in milliseconds
   * @return false while the pace is not known yet
   */
  boolean isKnown(long windowMillis) {
    return oldest != null && newest.clockMillis - oldest.clockMillis >= windowMillis;
  }

  /**
   * Returns the remaining time of the run at its current pace.
   *
   * @return the time in milliseconds; {@link #NEVER_MILLIS} if the run makes no progress
   */
  long remainingMillis() {
    int gained = newest.percent - oldest.percent;
    if (gained <= 0) {
      return NEVER_MILLIS;
    }
    long elapsedMillis = newest.clockMillis - oldest.clockMillis;
    return elapsedMillis * (WHOLE_PERCENT - newest.percent) / gained;
  }

  /**
   * Returns whether the run progressed faster before than it does now. A task that is long by
   * itself progresses slowly from its start.
   *
   * @param factor the minimum ratio of the earlier pace to the present one
   * @param windowMillis the minimum time of the earlier pace, in milliseconds
   * @return false if the earlier pace is not known
   */
  boolean hasSlowedDown(double factor, long windowMillis) {
    long earlierMillis = oldest.clockMillis - start.clockMillis;
    if (earlierMillis < windowMillis) {
      return false;
    }
    // Progress is reported in whole percents, so both differences may be off by one.
    double earlierPace = (oldest.percent - start.percent - 1) / (double) earlierMillis;
    double presentPace =
        (newest.percent - oldest.percent + 1) / (double) (newest.clockMillis - oldest.clockMillis);
    return earlierPace > factor * presentPace;
  }

  /**
   * Returns for how long the run has made no progress.
   *
   * @return the time in milliseconds
   */
  long stalledMillis() {
    return newest.clockMillis - lastGain.clockMillis;
  }

  /**
   * Returns the fraction of the run that is still to be done.
   *
   * @return a value from 0 to 1
   */
  double remainingFraction() {
    return (WHOLE_PERCENT - newest.percent) / (double) WHOLE_PERCENT;
  }
}
