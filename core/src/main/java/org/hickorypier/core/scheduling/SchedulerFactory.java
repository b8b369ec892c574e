package org.hickorypier.core.scheduling;

/**
 * Creates schedulers.
 *
 * <p>Thread-safe, since it holds no state.
 */
public final class SchedulerFactory {

  private SchedulerFactory() {}

  /**
   * Creates a scheduler without workers, teams or work.
   *
   * @param settings the limits
   * @param seed the seed of the random choices; the same calls with the same seed give the same
   *     decisions
   * @return the scheduler
   */
  public static Scheduler create(SchedulerSettings settings, long seed) {
    return new IncrementalScheduler(settings, seed);
  }
}
