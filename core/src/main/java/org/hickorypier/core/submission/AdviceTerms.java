package org.hickorypier.core.submission;

/**
 * How long the advisor of a queue takes, and how long its tickets last.
 *
 * <p>Immutable.
 *
 * @param baseMillis fixed time of one call, in milliseconds
 * @param perWorkerMillis additional time for each worker named, in milliseconds
 * @param ticketValidityMillis how long a ticket is valid, in milliseconds
 */
public record AdviceTerms(double baseMillis, double perWorkerMillis, long ticketValidityMillis) {

  /**
   * Returns how long the advisor is busy with one call.
   *
   * @param workers how many workers the call names
   * @return milliseconds
   */
  public double callMillis(int workers) {
    return baseMillis + perWorkerMillis * workers;
  }
}
