package org.hickorypier.core.cell;

/**
 * Adopts runs that an earlier owner ordered.
 *
 * <p>Invariant: at most one run of a task is continued; the others are stopped. Confined to the
 * control thread.
 */
final class RunAdoption {

  private final CellState cell;
  private final RunController runs;

  RunAdoption(CellState cell, RunController runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /** Adopts a run that its worker has reported, or stops it if it is not wanted. */
  Run adoptReported(WorkerView worker, RunKey key, long now) {
    return adopt("run-adopted", worker, key, now);
  }

  /**
   * Adopts a run that an earlier owner has listed, on a worker that has not answered yet. If the
   * worker's first report lacks the run, it is removed.
   */
  void adoptListed(WorkerView worker, RunKey key, long now) {
    if (!worker.runs.containsKey(key)) {
      adopt("run-expected", worker, key, now);
    }
  }

  private Run adopt(String event, WorkerView worker, RunKey key, long now) {
    Submission submission = cell.submissions.get(key.task().submission());
    Task task = submission == null ? null : submission.task(key.task());
    String customer = cell.customerOf(key.task().submission());
    Run run = new Run(key, task, worker, cell.resourcesOf(key.task()), customer);
    run.orderedAt = now;
    run.confirmedAt = now;
    runs.occupy(run);
    if (task != null) {
      task.lastRunNumber = Math.max(task.lastRunNumber, key.number());
    }
    boolean wanted =
        task != null && submission.isLive() && !task.done && supersedes(task, key, now);
    cell.runEvent(wanted ? event : "run-unwanted", key, worker);
    if (wanted) {
      task.currentRun = run;
      Task unit = task.crashUnit();
      boolean announced = unit.crashes != null && unit.crashes.adopt(key.number());
      if (announced && cell.crashVerdict(unit, now) == CrashVerdict.START_ALONE) {
        worker.trialUnit = unit;
        worker.trialSince = now;
      }
    } else {
      runs.stop(run, now);
    }
    return run;
  }

  /**
   * Returns whether the run replaces those already known. Of two runs of a gang the one with the
   * higher number is continued, for all members.
   */
  private boolean supersedes(Task task, RunKey key, long now) {
    if (task.currentRun != null && !replacesUnconfirmed(task.currentRun, key, now)) {
      return false;
    }
    if (!task.step.isGang()) {
      return true;
    }
    for (Task member : task.step.tasks) {
      Run other = member.currentRun;
      if (other != null && other.key.number() > key.number()) {
        return false;
      }
    }
    for (Task member : task.step.tasks) {
      Run other = member.currentRun;
      if (other != null && other.key.number() < key.number()) {
        runs.stop(other, now);
      }
    }
    return true;
  }

  /**
   * Returns whether the run replaces an earlier one whose worker has not answered yet. The former
   * owner ordered the later run only after it had resolved the earlier one, which it listed before.
   */
  private boolean replacesUnconfirmed(Run existing, RunKey key, long now) {
    if (existing.worker.hasAnswered || existing.key.number() >= key.number()) {
      return false;
    }
    runs.stop(existing, now);
    return true;
  }
}
