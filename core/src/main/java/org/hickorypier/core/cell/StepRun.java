package org.hickorypier.core.cell;

import org.hickorypier.core.submission.StepSpec;

/** One occurrence of a step, with its tasks. Belongs to the control thread. */
public final class StepRun {

  final Submission submission;
  final int occurrence;
  final int index;
  final StepSpec spec;
  final Task[] tasks;
  final StepAdvice advice;

  /** Place of the step's first task among all tasks of the submission. */
  final int firstTaskOffset;

  int doneCount;

  /** The longest that a run of a task that is done took, in milliseconds. */
  long longestRunMillis;

  /** What has the least time to spare of all that its service runs. */
  boolean urgent;

  /** Runs that are compared with each other, and their time on workers of the usual speed. */
  int comparedRuns;

  double comparedMillis;

  /** Room set aside while tickets are on their way, or null. */
  Claim claim;

  StepRun(Submission submission, int occurrence, int index, StepSpec spec, int firstPlace) {
    this.submission = submission;
    this.occurrence = occurrence;
    this.index = index;
    this.spec = spec;
    this.firstTaskOffset = firstPlace;
    this.advice = submission.spec().queue().advice().map(StepAdvice::new).orElse(null);
    this.tasks = new Task[spec.count()];
    for (int place = 0; place < tasks.length; place++) {
      tasks[place] = new Task(this, place);
    }
  }

  /**
   * Returns the submission that it belongs to.
   *
   * @return the submission
   */
  public Submission submission() {
    return submission;
  }

  /**
   * Returns the occurrence.
   *
   * @return from 0
   */
  public int occurrence() {
    return occurrence;
  }

  /**
   * Returns the place of the step.
   *
   * @return from 0
   */
  public int index() {
    return index;
  }

  boolean isGang() {
    return spec.flags().gang();
  }

  boolean isDone() {
    return doneCount == tasks.length;
  }

  /** Counts failures of a gang at its first member: the gang fails as one. */
  Task failureRecord(Task task) {
    return isGang() ? tasks[0] : task;
  }

  boolean hasWaitingTasks() {
    for (Task task : tasks) {
      if (task.isWaiting()) {
        return true;
      }
    }
    return false;
  }

  boolean isPersistent() {
    return spec.flags().persistent();
  }

  /**
   * Returns since when the step waits for a start; the submission's arrival before its first run.
   */
  long waitingSince() {
    long since = Long.MAX_VALUE;
    for (Task task : tasks) {
      if (task.isWaiting() && task.waitingSince > 0) {
        since = Math.min(since, task.waitingSince);
      }
    }
    return since == Long.MAX_VALUE ? submission.acceptedAt : since;
  }

  int waitingCount() {
    int waiting = 0;
    for (Task task : tasks) {
      waiting += task.isWaiting() ? 1 : 0;
    }
    return waiting;
  }

  /** A gang starts anew only when nothing of its last run is left anywhere. */
  boolean allTasksWaiting() {
    for (Task task : tasks) {
      if (!task.isWaiting()) {
        return false;
      }
    }
    return true;
  }

  int nextGangRunNumber() {
    int highest = submission.firstRunNumber() - 1;
    for (Task task : tasks) {
      highest = Math.max(highest, task.lastRunNumber);
    }
    return highest + 1;
  }

  int countRunsOn(WorkerView worker) {
    int count = 0;
    for (Task task : tasks) {
      if (task.currentRun != null && task.currentRun.worker == worker) {
        count++;
      }
    }
    return count;
  }
}
