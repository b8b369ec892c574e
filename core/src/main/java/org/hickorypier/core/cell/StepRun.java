package org.hickorypier.core.cell;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import org.hickorypier.core.estimation.StepSamples;
import org.hickorypier.core.submission.StepSpec;

/** One occurrence of a step with its tasks. Confined to the control thread. */
public final class StepRun {

  private static final Task[] NO_TASKS = {};

  final Submission submission;
  final int occurrence;
  final int index;
  final StepSpec spec;
  final StepAdvice advice;

  /**
   * The tasks, or null while all of them wait for their first run. Submissions that are due later,
   * of which there are thousands, thus cost their specification only.
   */
  private Task[] tasks;

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
  }

  /** Returns the tasks by their index; creates them if there are none yet. */
  Task[] tasks() {
    if (tasks == null) {
      tasks = new Task[spec.count()];
      Arrays.setAll(tasks, taskIndex -> new Task(this, taskIndex));
    }
    return tasks;
  }

  /** Returns the tasks by their index, or none if all of them wait for their first run. */
  Task[] createdTasks() {
    return tasks == null ? NO_TASKS : tasks;
  }

  /** Returns whether the tasks exist; if not, all of them wait for their first run. */
  boolean hasCreatedTasks() {
    return tasks != null;
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
    return doneCount == spec.count();
  }

  /**
   * Returns the task that records the failures of a task. A gang fails as a unit, so its first
   * member records its failures.
   */
  Task failureRecord(Task task) {
    return isGang() ? tasks()[0] : task;
  }

  boolean hasWaitingTasks() {
    for (Task task : createdTasks()) {
      if (task.isWaiting()) {
        return true;
      }
    }
    return !hasCreatedTasks();
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
    for (Task task : createdTasks()) {
      if (task.isWaiting() && task.waitingSince > 0) {
        since = Math.min(since, task.waitingSince);
      }
    }
    return since == Long.MAX_VALUE ? submission.acceptedAt : since;
  }

  int waitingCount() {
    if (!hasCreatedTasks()) {
      return spec.count();
    }
    int waiting = 0;
    for (Task task : createdTasks()) {
      waiting += task.isWaiting() ? 1 : 0;
    }
    return waiting;
  }

  /** Tells whether all tasks wait. A gang restarts only when no worker holds its last run. */
  boolean allTasksWaiting() {
    for (Task task : createdTasks()) {
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
    for (Task task : createdTasks()) {
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
    for (Task member : createdTasks()) {
      if (member.currentRun != null) {
        workers.add(member.currentRun.worker);
      }
    }
    return Math.max(1, workers.size());
  }

  int countRunsOn(WorkerView worker) {
    int count = 0;
    for (Task task : createdTasks()) {
      if (task.currentRun != null && task.currentRun.worker == worker) {
        count++;
      }
    }
    return count;
  }
}
