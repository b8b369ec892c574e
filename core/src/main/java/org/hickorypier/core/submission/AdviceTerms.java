package org.hickorypier.core.submission;

/**
 * Timing of the advisor of a queue: the duration of a call and the validity of its tickets.
 *
 * <p>Immutable.
 *
 * @param baseMillis fixed part of the duration of a call, in milliseconds
 * @param perWorkerMillis additional duration for each worker named in the call, in milliseconds
 * @param ticketValidityMillis how long a ticket is valid, in milliseconds
 */
public record AdviceTerms(double baseMillis, double perWorkerMillis, long ticketValidityMillis) {

  /**
   * Returns how long the advisor is busy with a call.
   *
   * @param workers number of workers that the call names
   * @return the duration in milliseconds
   */
  public double callMillis(int workers) {
    return baseMillis + perWorkerMillis * workers;
  }
}
