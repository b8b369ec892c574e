package org.hickorypier.core.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;

/**
 * Checks that persistent tasks are restarted in time, based on what workers and callers observe.
 * Steps that depend on other steps are not monitored.
 *
 * <p>Invariant: a task without a run is reported once, until it runs again. Not thread-safe; the
 * owner synchronizes access.
 */
final class PersistentTaskMonitor {

  /** The time a task may be without a run after its last run or after its acceptance. */
  static final long RESTART_GRACE_MILLIS = 6_000;

  /** The additional time a task may be without a run while there is free capacity. */
  static final long MAX_UNSERVED_MILLIS = 3_000;

  /** An unplanned disruption excuses a missing run that is due within this time after it. */
  static final long DISRUPTION_GRACE_MILLIS = 4_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<TaskName, TaskState> tasks = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Set<String> cancelled = new HashSet<>();
  private long disruptedAtMillis = NEVER;

  void recordAccepted(SubmissionSpec spec, long now) {
    if (!accepted.add(spec.id())) {
      return;
    }
    for (int step = 0; step < spec.steps().size(); step++) {
      StepSpec stepSpec = spec.steps().get(step);
      if (stepSpec.flags().persistent() && stepSpec.dependsOn().isEmpty()) {
        for (int index = 0; index < stepSpec.count(); index++) {
          taskState(new TaskName(spec.id(), 0, step, index)).markIdle(now);
        }
      }
    }
  }

  void recordCancelRequested(String id) {
    cancelled.add(id);
  }

  void recordStart(TaskName task) {
    taskState(task).runCount++;
  }

  void recordEnd(TaskName task, long now) {
    TaskState state = taskState(task);
    state.runCount--;
    state.markIdle(now);
  }

  void recordDisruption(long now) {
    disruptedAtMillis = now;
  }

  /** Returns the tasks that have been without a run for too long and are not reported yet. */
  List<TaskName> findOverdue(Predicate<TaskName> hasCapacity, long now) {
    List<TaskName> overdue = new ArrayList<>();
    for (Map.Entry<TaskName, TaskState> entry : tasks.entrySet()) {
      TaskState state = entry.getValue();
      if (!shouldRun(entry.getKey()) || state.runCount > 0 || state.reported) {
        continue;
      }
      if (!hasCapacity.test(entry.getKey())) {
        state.unservedSinceMillis = Math.max(state.unservedSinceMillis, now);
      } else if (now - state.unservedSinceMillis >= MAX_UNSERVED_MILLIS
          && now - disruptedAtMillis > MAX_UNSERVED_MILLIS + DISRUPTION_GRACE_MILLIS) {
        state.reported = true;
        overdue.add(entry.getKey());
      }
    }
    return overdue;
  }

  /** Returns the tasks that should run and do not. */
  List<TaskName> idleTasks() {
    return tasks.keySet().stream()
        .filter(task -> shouldRun(task) && tasks.get(task).runCount == 0)
        .toList();
  }

  /** Returns the time in milliseconds for which a task has had no run. */
  long idleMillis(TaskName task, long now) {
    return now - tasks.get(task).idleSinceMillis;
  }

  private boolean shouldRun(TaskName task) {
    return accepted.contains(task.submission()) && !cancelled.contains(task.submission());
  }

  private TaskState taskState(TaskName task) {
    return tasks.computeIfAbsent(task, name -> new TaskState());
  }

  /** The observed state of one task. */
  private static final class TaskState {

    private int runCount;
    private long idleSinceMillis = NEVER;
    private long unservedSinceMillis = NEVER;
    private boolean reported;

    void markIdle(long now) {
      idleSinceMillis = now;
      unservedSinceMillis = now + RESTART_GRACE_MILLIS;
      reported = false;
    }
  }
}
