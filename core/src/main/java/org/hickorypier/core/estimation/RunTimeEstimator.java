package org.hickorypier.core.estimation;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the run time of tasks by queue from completed runs.
 *
 * <p>Callers' estimates of short checks are off by up to 90% on the users' installations: with them
 * alone, a check of 0.6 s that is estimated at 0.07 s would count as unable to meet its objective
 * before it was due, and would be scheduled last. Other queues have tasks of many lengths and good
 * estimates, so each queue's estimates count by how wrong they have been. All run times are at the
 * usual speed, that is, divided by the factor of the worker. Mutable; confined to the control
 * thread.
 */
public final class RunTimeEstimator {

  /** Progress from which on the pace of a run alone tells its remaining time, in percent. */
  private static final double DECISIVE_PERCENT = 20;

  private static final double WHOLE_PERCENT = 100;

  private final Map<String, QueueRunTimes> queues = new HashMap<>();

  /** Creates an estimator that knows no runs. */
  public RunTimeEstimator() {}

  /**
   * Records a completed run.
   *
   * @param queue the queue of the task
   * @param estimateMillis the caller's estimate, in milliseconds
   * @param millis the run time, in milliseconds
   * @param factor the relative run time on the worker
   */
  public void recordRun(String queue, long estimateMillis, long millis, double factor) {
    queues
        .computeIfAbsent(queue, name -> new QueueRunTimes())
        .record(estimateMillis, Math.max(1, millis / factor));
  }

  /**
   * Counts a task that was found to be long before its end.
   *
   * @param queue the queue of the task
   * @param ratio its run time as a multiple of the expected one
   */
  public void recordLongTask(String queue, double ratio) {
    queues.computeIfAbsent(queue, name -> new QueueRunTimes()).addToDistribution(ratio);
  }

  /**
   * Returns the number of completed runs of a queue. The expected run times of its tasks change
   * only with this number.
   *
   * @param queue the queue
   * @return the number, 0 if no run is known
   */
  public int knownRuns(String queue) {
    QueueRunTimes times = queues.get(queue);
    return times == null ? 0 : times.runs();
  }

  /**
   * Returns whether enough runs of a queue have completed to predict the run time of its tasks.
   *
   * @param queue the queue
   * @return false while the callers' estimates are the main source
   */
  public boolean isKnown(String queue) {
    QueueRunTimes times = queues.get(queue);
    return times != null && times.isKnown();
  }

  /**
   * Returns the expected run time of a task at the usual speed.
   *
   * @param queue the queue of the task
   * @param estimateMillis the caller's estimate, in milliseconds
   * @return the time in milliseconds
   */
  public long expectedMillis(String queue, long estimateMillis) {
    QueueRunTimes times = queues.get(queue);
    return times == null
        ? estimateMillis
        : Math.max(1, Math.round(times.expectedMillis(estimateMillis)));
  }

  /**
   * Returns the mean run time of a queue's tasks at the usual speed, whatever their estimates.
   *
   * @param queue the queue of the tasks
   * @return the time in milliseconds; 0 if no run is known
   */
  public double meanMillis(String queue) {
    QueueRunTimes times = queues.get(queue);
    return times == null ? 0 : times.meanMillis();
  }

  /**
   * Returns the weight of the callers' estimates in the expected run times of a queue.
   *
   * @param queue the queue
   * @return the weight, from 0 to 1; 1 if no run is known
   */
  public double estimateWeight(String queue) {
    return isKnown(queue) ? queues.get(queue).estimateWeight() : 1;
  }

  /**
   * Returns the share of a queue's runs that took at least some multiple of the expected time.
   *
   * @param queue the queue
   * @param ratio the multiple
   * @return the share, from 0 to 1; 0 if no such run is known
   */
  public double shareFrom(String queue, double ratio) {
    QueueRunTimes times = queues.get(queue);
    return times == null ? 0 : times.shareFrom(ratio);
  }

  /**
   * Returns the multiple of the expected run time that a share of a queue's runs does not exceed.
   *
   * @param queue the queue
   * @param share the share, from 0 to 1
   * @return the multiple; 1 if no run is known
   */
  public double quantile(String queue, double share) {
    QueueRunTimes times = queues.get(queue);
    return times == null ? 1 : times.quantile(share);
  }

  /**
   * Returns the remaining time of a run.
   *
   * @param queue the queue of the task
   * @param estimateMillis the caller's estimate, in milliseconds
   * @param factor the relative run time on the worker
   * @param ranMillis how long the task has run, in milliseconds
   * @param percent the reported progress, from 0 to 100; negative if there is none
   * @return the expected time in milliseconds
   */
  public long remainingMillis(
      String queue, long estimateMillis, double factor, long ranMillis, int percent) {
    double usual = Math.max(1, expectedMillis(queue, estimateMillis) * factor);
    QueueRunTimes times = queues.get(queue);
    double ranRatio = ranMillis / usual;
    double byTime =
        usual * (times == null ? Math.max(0, 1 - ranRatio) : times.remainingRatio(ranRatio));
    if (percent <= 0) {
      return Math.round(byTime);
    }
    double byPace = ranMillis * (WHOLE_PERCENT - percent) / percent;
    double weight = Math.min(1, percent / DECISIVE_PERCENT);
    return Math.round(weight * byPace + (1 - weight) * byTime);
  }
}
