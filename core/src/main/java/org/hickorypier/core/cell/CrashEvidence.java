package org.hickorypier.core.cell;

/**
 * Weighs what the loss of a worker says about a task that ran there.
 *
 * <p>The weight is the logarithm of a likelihood ratio: how much likelier the loss is if the task
 * crashes its workers than if the worker was lost for another reason. Weights of several losses add
 * up. They are given in decibans, ten times the common logarithm. Stateless.
 */
final class CrashEvidence {

  /** The share of tasks that are expected to crash their workers. */
  private static final double CRASHING_TASK_SHARE = 0.001;

  /** A task whose losses weigh more is likelier to crash its workers than not. */
  private static final int SUSPICION_DECIBANS = decibans(CRASHING_TASK_SHARE);

  /** A task whose losses weigh more is sound in one of a thousand cases. */
  private static final int STRONG_SUSPICION_DECIBANS = 2 * SUSPICION_DECIBANS;

  /** A task whose losses weigh more crashes its workers in one of ten cases. */
  private static final int LAST_STARTS_DECIBANS = SUSPICION_DECIBANS - 10;

  /** Bounds what other suspects explain: several tasks that crash workers may run side by side. */
  private static final double MAX_OTHER_TASKS = 0.1;

  /** One loss alone is never enough for a suspicion. */
  static final int MAX_DECIBANS = SUSPICION_DECIBANS;

  /** Losses are not dated more accurately than this. */
  private static final long MIN_RUN_MILLIS = 10;

  private CrashEvidence() {}

  static boolean isSuspicious(int decibans) {
    return decibans > SUSPICION_DECIBANS;
  }

  static boolean isSuspiciousBeforeLastStarts(int decibans) {
    return decibans > LAST_STARTS_DECIBANS;
  }

  static boolean isStrong(int decibans) {
    return decibans > STRONG_SUSPICION_DECIBANS;
  }

  /**
   * Returns the weight of one loss.
   *
   * @param ranMillis for how long the run may have worked at most, in milliseconds
   * @param lossesPerMilli the rate at which the workers of the run are lost for other reasons
   * @param otherTasks the probability that another task on the worker crashed it; the sum of {@link
   *     #crashProbability} over them
   * @param shareLostTogether share of the workers that were lost at the same time, beside this one
   * @return the weight in decibans, from 0 to {@link #MAX_DECIBANS}
   */
  static int weigh(
      long ranMillis, double lossesPerMilli, double otherTasks, double shareLostTogether) {
    long millis = Math.max(MIN_RUN_MILLIS, ranMillis);
    double ownRate = Math.max(lossesPerMilli, shareLostTogether / WorkerLosses.TOGETHER_MILLIS);
    double otherCause = millis * ownRate + Math.min(MAX_OTHER_TASKS, otherTasks);
    return Math.min(MAX_DECIBANS, decibans(Math.min(1, otherCause)));
  }

  /** Returns the probability that a task whose losses have a weight crashes its workers. */
  static double crashProbability(int decibans) {
    double odds = CRASHING_TASK_SHARE * Math.pow(10, decibans / 10.0);
    return odds / (1 + odds);
  }

  private static int decibans(double probability) {
    return (int) Math.round(-10 * Math.log10(probability));
  }
}
