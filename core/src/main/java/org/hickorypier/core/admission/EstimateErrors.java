package org.hickorypier.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the predicted times of accepted submissions with the real ones, by queue. Confined to
 * the control thread.
 */
public final class EstimateErrors {

  /** Weight of a sample in the moving average, which is taken over some 20 submissions. */
  private static final double SAMPLE_WEIGHT = 0.05;

  private final Map<String, Sums> sums = new HashMap<>();

  private static final class Sums {
    private int ended;
    private int tooLong;
    private double predictedMillis;
    private double realMillis;
    private double excess;
  }

  /**
   * The errors of a queue since the last report.
   *
   * @param queue the queue
   * @param ended number of predicted submissions that have ended
   * @param tooLong number of those whose prediction exceeded the real time
   * @param meanPredictedMillis mean predicted time, in milliseconds
   * @param meanRealMillis mean real time, in milliseconds
   * @param excess moving average of the fraction by which predictions exceeded the real time
   */
  public record Report(
      String queue,
      int ended,
      int tooLong,
      long meanPredictedMillis,
      long meanRealMillis,
      double excess) {}

  /**
   * Records the end of a submission.
   *
   * @param queue its queue
   * @param predictedMillis the estimate at its acceptance in milliseconds, or {@link
   *     AdmissionDecision#UNKNOWN}
   * @param realMillis the time that it took, in milliseconds
   */
  public void record(String queue, long predictedMillis, long realMillis) {
    if (predictedMillis <= 0) {
      return;
    }
    Sums sum = sums.computeIfAbsent(queue, name -> new Sums());
    sum.ended++;
    sum.predictedMillis += predictedMillis;
    sum.realMillis += realMillis;
    double excess = Math.max(0, 1 - (double) realMillis / predictedMillis);
    sum.tooLong += excess > 0 ? 1 : 0;
    sum.excess += SAMPLE_WEIGHT * (excess - sum.excess);
  }

  /** Returns the part of a queue's estimates that has proved right, from 0 to 1. */
  double trust(String queue) {
    Sums sum = sums.get(queue);
    return sum == null ? 1 : 1 - sum.excess;
  }

  /**
   * Returns the errors since the last call.
   *
   * @return a report for each queue of which submissions have ended
   */
  public List<Report> takeReports() {
    List<Report> reports = new ArrayList<>();
    sums.forEach(
        (queue, sum) -> {
          if (sum.ended > 0) {
            reports.add(
                new Report(
                    queue,
                    sum.ended,
                    sum.tooLong,
                    Math.round(sum.predictedMillis / sum.ended),
                    Math.round(sum.realMillis / sum.ended),
                    sum.excess));
            sum.ended = 0;
            sum.tooLong = 0;
            sum.predictedMillis = 0;
            sum.realMillis = 0;
          }
        });
    return reports;
  }
}
