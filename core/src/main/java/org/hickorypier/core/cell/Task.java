package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.hickorypier.core.submission.MoveRecord;

/** One task of a step. Confined to the control thread. */
final class Task {

  /**
   * Failed runs that are kept of a persistent task. Its attempts are not limited, and a worker
   * repeats an end only until it is durable, so that few can be repeated.
   */
  private static final int MAX_FAILED_RUNS_OF_PERSISTENT = 8;

  final StepRun step;
  final int index;

  /** The run whose end decides the task, or null while it waits. */
  Run currentRun;

  /**
   * Number of its runs that hold room on workers: the current one and those that are being stopped.
   * A new owner may find two if the previous owner was briefly active at the same time.
   */
  int runsOnWorkers;

  /**
   * When its last run was lost or ended, on the owner's monotonic clock; 0 before its first run.
   */
  long waitingSince;

  boolean done;
  String checkpoint = "";

  /** The highest run number used so far. */
  int lastRunNumber;

  /**
   * Numbers of the failed runs, without duplicates: a new owner receives the same end again. Of a
   * persistent task, which may fail at any time for as long as it lives, the highest ones only.
   */
  final List<Integer> failedRunNumbers = new ArrayList<>(0);

  /** Worker where it last failed or made no progress, which the next run avoids; or null. */
  WorkerView avoidedWorker;

  /** Its runs that were lost with their workers, or null; of a gang, the first member's. */
  CrashHistory crashes;

  /** When it began to wait for a worker of its own, on the owner's monotonic clock; 0 if not. */
  long isolationWantedAt;

  /**
   * When a run of it was last stopped to make room for more urgent work, on the owner's monotonic
   * clock; 0 if none was.
   */
  long interruptedAt;

  /** Number of times it was moved away from a slow worker, over all owners. */
  int migrations;

  /** Whether a run of it was found to be long by itself, not because of its worker. */
  boolean longByItself;

  Task(StepRun step, int index) {
    this.step = step;
    this.index = index;
  }

  /** Tells whether the failure of a run is recorded, or was recorded and is no longer kept. */
  boolean hasRecordedFailure(int number) {
    boolean dropped =
        step.isPersistent()
            && failedRunNumbers.size() >= MAX_FAILED_RUNS_OF_PERSISTENT
            && number < Collections.min(failedRunNumbers);
    return dropped || failedRunNumbers.contains(number);
  }

  void recordFailure(int number) {
    failedRunNumbers.add(number);
    while (step.isPersistent() && failedRunNumbers.size() > MAX_FAILED_RUNS_OF_PERSISTENT) {
      failedRunNumbers.remove(Collections.min(failedRunNumbers));
    }
  }

  TaskName name() {
    return new TaskName(step.submission.spec().id(), step.occurrence, step.index, index);
  }

  /** Returns the task whose history counts the lost runs: of a gang, the first member. */
  Task crashUnit() {
    return step.failureRecord(this);
  }

  /** Returns what a successor has to know of its pace; null if there is nothing. */
  MoveRecord toMoveRecord() {
    if (done || migrations == 0 && !longByItself) {
      return null;
    }
    return new MoveRecord(Math.min(MoveRecord.MAX_MOVES, migrations), longByItself);
  }

  void restoreMoves(MoveRecord known) {
    migrations = known.moves();
    longByItself = known.longByItself();
  }

  /** Records the newest checkpoint; all members of a gang must resume from the same one. */
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
