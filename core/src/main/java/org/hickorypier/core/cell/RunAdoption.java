package org.hickorypier.core.cell;

/**
 * Takes over runs that an earlier owner ordered.
 *
 * <p>Invariant: of the runs of one task at most one goes on; the others are stopped. Belongs to the
 * control thread.
 */
final class RunAdoption {

  private final CellState cell;
  private final RunBook runs;

  RunAdoption(CellState cell, RunBook runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /** Takes over a run that its worker has reported, or stops it where it is not wanted. */
  Run reported(WorkerView worker, RunKey key, long now) {
    return adopt("run-adopted", worker, key, now);
  }

  /**
   * Takes over a run that an earlier owner has named, on a worker that has not been heard. It is
   * not there any more if the worker's first report lacks it.
   */
  void named(WorkerView worker, RunKey key, long now) {
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
    } else {
      runs.stop(run, now);
    }
    return run;
  }

  /** Of two runs of a gang that are found the later one goes on, as a whole. */
  private boolean supersedes(Task task, RunKey key, long now) {
    if (task.currentRun != null && !replacesUnheard(task.currentRun, key, now)) {
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

  /** The earlier owner ordered a later run, so it had settled the one that it named before. */
  private boolean replacesUnheard(Run present, RunKey key, long now) {
    if (present.worker.heard || present.key.number() >= key.number()) {
      return false;
    }
    runs.stop(present, now);
    return true;
  }
}
