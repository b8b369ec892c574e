package org.hickorypier.core.estimation;

/**
 * What is known of the speed of a worker, in the form that is handed to a successor.
 *
 * <p>Immutable.
 *
 * @param id the worker's id
 * @param service the service of the worker
 * @param kind the kind of the worker
 * @param bornMillis the start of the worker's incarnation, in milliseconds since 1970
 * @param factor relative run time of tasks on the worker, where 1 is the mean of the service; from
 *     {@link WorkerSpeedEstimator#MIN_FACTOR} to {@link WorkerSpeedEstimator#MAX_FACTOR}
 * @param samples the number of samples behind the factor, of which old ones count less
 */
public record WorkerSpeed(
    String id, String service, String kind, long bornMillis, double factor, double samples) {

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if the factor or the number of samples is out of range
   */
  public WorkerSpeed {
    if (!(factor >= WorkerSpeedEstimator.MIN_FACTOR && factor <= WorkerSpeedEstimator.MAX_FACTOR)) {
      throw new IllegalArgumentException("factor of worker " + id + " is out of range: " + factor);
    }
    if (!(samples >= 0 && samples < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException(
          "number of samples of worker " + id + " is out of range: " + samples);
    }
  }
}
