package org.hickorypier.core.cell;

/**
 * How fast a run gets on, by what its worker tells of it from time to time.
 *
 * <p>Only the latest of it counts: a worker may turn slow, or stand still, in the middle of a run.
 * Belongs to the control thread.
 */
final class RunPace {

  /** What is left of a run that does not get on at all, in milliseconds. */
  static final long NEVER_MILLIS = Long.MAX_VALUE / 4;

  private static final int WHOLE_PERCENT = 100;

  /** Restoring a checkpoint takes up to 0.6 s on the users' installations. */
  private static final long MAX_RESTORE_MILLIS = 1_500;

  private boolean restoring;
  private Sample first;
  private Sample oldest;
  private Sample middle;
  private Sample newest;

  /** How far a run was at some time of its worker's clock. */
  private record Sample(long clockMillis, int percent) {}

  /**
   * Begins to watch a run.
   *
   * @param resumed it restores a checkpoint first: its pace counts once it gets on, or has had
   *     ample time to
   */
  RunPace(boolean resumed) {
    this.restoring = resumed;
  }

  /**
   * Notes how far the run is.
   *
   * @param clockMillis the worker's clock
   * @param percent from 0 to 100
   * @param windowMillis how much time the pace is taken over at least
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
    newest = sample;
  }

  /**
   * Tells whether the run was watched for some time.
   *
   * @param windowMillis the time
   * @return false while its pace is not known yet
   */
  boolean isKnown(long windowMillis) {
    return oldest != null && newest.clockMillis - oldest.clockMillis >= windowMillis;
  }

  /**
   * Returns how long the run takes yet at its present pace.
   *
   * @return milliseconds; {@link #NEVER_MILLIS} if it stands still
   */
  long remainingMillis() {
    int gained = newest.percent - oldest.percent;
    if (gained <= 0) {
      return NEVER_MILLIS;
    }
    long watched = newest.clockMillis - oldest.clockMillis;
    return watched * (WHOLE_PERCENT - newest.percent) / gained;
  }

  /**
   * Returns the part of the run that is still to be done.
   *
   * @return from 0 to 1
   */
  double remainingFraction() {
    return (WHOLE_PERCENT - newest.percent) / (double) WHOLE_PERCENT;
  }
}
