package org.hickorypier.core.scheduling;

/**
 * Creates the decisions of an instance.
 *
 * <p>Holds no state, so safe to use from any thread.
 */
public final class SchedulerFactory {

  private SchedulerFactory() {}

  /**
   * Creates a scheduler without workers, teams or work.
   *
   * @param settings the limits
   * @param seed the seed of the random choices; the same calls with the same seed decide the same
   * @return the scheduler
   */
  public static Scheduler create(SchedulerSettings settings, long seed) {
    return new IncrementalScheduler(settings, seed);
  }
}
