package org.hickorypier.core.cell;

import java.util.HashSet;
import java.util.Set;
import org.hickorypier.core.estimation.StepSamples;
import org.hickorypier.core.submission.StepSpec;

/** One occurrence of a step with its tasks. Confined to the control thread. */
public final class StepRun {

  final Submission submission;
  final int occurrence;
  final int index;
  final StepSpec spec;
  final Task[] tasks;
  final StepAdvice advice;

  /** Index of the step's first task among all tasks of the submission. */
  final int firstTaskOffset;

  int doneCount;

  /** Longest duration of a run that completed its task, at the usual worker speed. */
  long longestRunMillis;

  /** True for the most urgent work of its service, which has the least time to spare. */
  boolean urgent;

  /** Relative run time of the slowest worker on which the step still ends in time. */
  double allowedFactor = Double.POSITIVE_INFINITY;

  /** Whether the step is placed by the speeds of single workers, not only of their kinds. */
  boolean placedBySpeed;

  /** Run times that show the speeds of workers; null before the first of them. */
  StepSamples speedSamples;

  /** Resources that are reserved while an advice request or stops are pending, or null. */
  StepReservation reservation;

  /** Stops that make room for the step, or null. */
  StepPreemption preemption;

  /** Earliest time of the next plan to make room for the step. */
  long nextPreemptionAt;

  /** When the workers known to be suitable did not suffice for a plan; 0 if that never was so. */
  long planFailedAt;

  StepRun(Submission submission, int occurrence, int index, StepSpec spec, int firstTaskOffset) {
    this.submission = submission;
    this.occurrence = occurrence;
    this.index = index;
    this.spec = spec;
    this.firstTaskOffset = firstTaskOffset;
    this.advice = submission.spec().queue().advice().map(StepAdvice::new).orElse(null);
    this.tasks = new Task[spec.count()];
    for (int taskIndex = 0; taskIndex < tasks.length; taskIndex++) {
      tasks[taskIndex] = new Task(this, taskIndex);
    }
  }

  /**
   * Returns its submission.
   *
   * @return the submission
   */
  public Submission submission() {
    return submission;
  }

  /**
   * Returns the index of the occurrence.
   *
   * @return the index, from 0
   */
  public int occurrence() {
    return occurrence;
  }

  /**
   * Returns the index of the step in its submission.
   *
   * @return the index, from 0
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

  /**
   * Returns the task that records the failures of a task. A gang fails as a unit, so its first
   * member records its failures.
   */
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
   * Returns since when the step waits for a start, on the owner's monotonic clock; the acceptance
   * of its submission before its first run.
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

  /** Tells whether all tasks wait. A gang restarts only when no worker holds its last run. */
  boolean allTasksWaiting() {
    for (Task task : tasks) {
      if (!task.isWaiting()) {
        return false;
      }
    }
    return true;
  }

  /** Returns the number of the next run of a task, or of the gang. */
  int nextRunNumber(Task task) {
    return isGang()
        ? nextGangRunNumber()
        : Math.max(submission.firstRunNumber(), task.lastRunNumber + 1);
  }

  private int nextGangRunNumber() {
    int highest = submission.firstRunNumber() - 1;
    for (Task task : tasks) {
      highest = Math.max(highest, task.lastRunNumber);
    }
    return highest + 1;
  }

  /** Returns on how many workers a task, or the gang that it stands for, runs; 1 at least. */
  int countWorkersOf(Task unit) {
    if (!isGang()) {
      return 1;
    }
    Set<WorkerView> workers = new HashSet<>();
    for (Task member : tasks) {
      if (member.currentRun != null) {
        workers.add(member.currentRun.worker);
      }
    }
    return Math.max(1, workers.size());
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
