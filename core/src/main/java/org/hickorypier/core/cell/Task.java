package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.List;

/** One task of a step. Belongs to the control thread. */
final class Task {

  final StepRun step;
  final int index;

  /** The run that counts for the task, or null while it waits. */
  Run currentRun;

  /**
   * How many runs of it keep their room on workers: the current one, and those that are being
   * stopped. A successor may find two, where its predecessor went on beside it for a moment.
   */
  int runsOnWorkers;

  /** When its last run was lost or ended; 0 before its first run. */
  long waitingSince;

  boolean done;
  String checkpoint = "";

  /** The highest number used for a run so far. */
  int lastRunNumber;

  /** Numbers of the failed runs: a set, since a successor hears of the same end again. */
  final List<Integer> failedRunNumbers = new ArrayList<>(0);

  /** Where it failed or stood still last, so that the next run goes elsewhere; or null. */
  WorkerView avoidedWorker;

  /** How often it was taken away from a slow worker. */
  int migrations;

  Task(StepRun step, int index) {
    this.step = step;
    this.index = index;
  }

  TaskName name() {
    return new TaskName(step.submission.spec().id(), step.occurrence, step.index, index);
  }

  /** Keeps the newest checkpoint; all members of a gang must resume from the same one. */
  void recordCheckpoint(String value) {
    if (!step.spec.flags().checkpoints()) {
      return;
    }
    if (!step.isGang()) {
      checkpoint = value;
      return;
    }
    for (Task member : step.tasks) {
      member.checkpoint = value;
    }
  }

  boolean isWaiting() {
    return !done && currentRun == null && runsOnWorkers == 0;
  }
}
