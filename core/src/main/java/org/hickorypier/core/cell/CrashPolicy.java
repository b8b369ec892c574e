package org.hickorypier.core.cell;

/**
 * Decides what may be done with a task whose runs were lost with their workers.
 *
 * <p>A worker crashes for reasons of its own, under a task that crashes it, or under another one
 * beside it. A task is suspected by the weight of its losses ({@link CrashEvidence}), not by their
 * number: where workers crash often, sound tasks lose several runs. Only a run that was alone on
 * its worker tells a task from those beside it, so a suspected task runs alone if a worker can be
 * had soon, and is given up only by runs that were lost alone and not at the same time as other
 * workers. Stateless.
 */
final class CrashPolicy {

  /** Number of lost runs from which on a task may be suspected. */
  private static final int LOSSES_BEFORE_SUSPICION = 2;

  /** Number of lost runs from which on a task may be given up. */
  private static final int LOSSES_BEFORE_VERDICT = 4;

  /** Number of lost runs after which only two more starts are allowed. */
  static final int LOSSES_BEFORE_LAST_STARTS = 3;

  private static final int MAX_STARTS = LOSSES_BEFORE_LAST_STARTS + 2;

  /** Number of crashes under the task alone that show it to be the cause. */
  private static final int CONCLUSIVE_CRASHES = 2;

  /** Weight of one such crash that suffices if no more starts are allowed. */
  private static final int LAST_CRASH_DECIBANS = 10;

  /** Longest time for which a suspected task waits for a worker of its own. */
  private static final long MAX_ISOLATION_WAIT_MILLIS = 2_000;

  /** The same before the last starts, or under a strong suspicion. */
  private static final long MAX_LAST_ISOLATION_WAIT_MILLIS = 60_000;

  /** Longest time for which a task waits for calm before it is tried once more. */
  private static final long MAX_CALM_WAIT_MILLIS = 20_000;

  /**
   * Time for which a task waits for evidence after the last start that is allowed. Only a task
   * whose every loss alone was shared by other workers starts again after it.
   */
  private static final long LAST_WAIT_MILLIS = 60_000;

  private CrashPolicy() {}

  private static boolean isSuspected(CrashHistory crashes) {
    int losses = crashes.seenLosses();
    int decibans = crashes.decibans();
    return losses >= LOSSES_BEFORE_SUSPICION && CrashEvidence.isSuspicious(decibans)
        || losses >= LOSSES_BEFORE_LAST_STARTS
            && CrashEvidence.isSuspiciousBeforeLastStarts(decibans);
  }

  /**
   * Decides on a task.
   *
   * @param unit the task, or the first member of the gang, with its lost runs
   * @param workerLosses all losses of workers of late
   * @param now the time
   * @return the verdict
   */
  static CrashVerdict decide(Task unit, WorkerLosses workerLosses, long now) {
    CrashHistory crashes = unit.crashes;
    if (!isSuspected(crashes)) {
      return CrashVerdict.START;
    }
    boolean strong = CrashEvidence.isStrong(crashes.decibans());
    boolean mayStartAgain = startsThatMayHaveCrashed(unit, strong) < MAX_STARTS;
    if (crashes.seenLosses() >= LOSSES_BEFORE_VERDICT || !mayStartAgain) {
      if (crashes.lostRuns().stream().anyMatch(lost -> lost.isAlone() && !lost.settled())) {
        return CrashVerdict.WAIT;
      }
      if (isProven(unit, strong, mayStartAgain, workerLosses)) {
        return CrashVerdict.GIVE_UP;
      }
      if (strong && !mayBeTriedAgain(crashes, mayStartAgain, workerLosses, now)) {
        return CrashVerdict.WAIT;
      }
    }
    boolean lastStarts = strong || crashes.seenLosses() >= LOSSES_BEFORE_LAST_STARTS;
    long maxWait = lastStarts ? MAX_LAST_ISOLATION_WAIT_MILLIS : MAX_ISOLATION_WAIT_MILLIS;
    boolean waitedForWorker = unit.isolationWantedAt > 0 && now - unit.isolationWantedAt >= maxWait;
    return waitedForWorker ? CrashVerdict.START : CrashVerdict.START_ALONE;
  }

  /** Returns whether enough workers crashed under a task alone, and not together with others. */
  private static boolean isProven(
      Task unit, boolean strong, boolean mayStartAgain, WorkerLosses workerLosses) {
    int crashes = 0;
    int decibans = 0;
    for (LostRun lost : unit.crashes.lostRuns()) {
      if (lost.isAlone() && !workerLosses.hasCommonCause(unit, lost.lostAt())) {
        crashes++;
        decibans += lost.decibans();
      }
    }
    boolean lastCrashSuffices = crashes > 0 && (strong || decibans >= LAST_CRASH_DECIBANS);
    return crashes >= CONCLUSIVE_CRASHES || !mayStartAgain && lastCrashSuffices;
  }

  /**
   * Counts the starts after which the worker crashed or may have: an earlier owner may have been
   * lost together with a worker before it learned of the loss.
   */
  private static int startsThatMayHaveCrashed(Task unit, boolean strong) {
    CrashHistory crashes = unit.crashes;
    int unseen = unit.step.submission.mayHaveUnknownRuns ? 1 : 0;
    return strong
        ? crashes.seenLosses() + Math.max(unseen, crashes.unseenRuns()) + crashes.lateStarts()
        : crashes.seenLosses() + unseen;
  }

  private static boolean mayBeTriedAgain(
      CrashHistory crashes, boolean mayStartAgain, WorkerLosses workerLosses, long now) {
    long lastLostAt = crashes.lostRuns().stream().mapToLong(LostRun::lostAt).max().orElse(now);
    long waitedMillis = now - lastLostAt;
    return mayStartAgain
        ? workerLosses.isCalm(now) || waitedMillis >= MAX_CALM_WAIT_MILLIS
        : waitedMillis >= LAST_WAIT_MILLIS;
  }
}
