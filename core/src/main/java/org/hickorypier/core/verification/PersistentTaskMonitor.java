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
 * Checks that tasks that last run again in time, from what workers and callers see. Steps that
 * depend on others are not watched.
 *
 * <p>Invariant: a task without a run is reported once, until it runs again. Not thread safe; its
 * owner guards it.
 */
final class PersistentTaskMonitor {

  /** A task may be without a run for so long after its last one, or after its acceptance. */
  static final long RESTART_GRACE_MILLIS = 6_000;

  /** Beyond that, a task may lack a run for so long while there is room. */
  static final long MAX_UNSERVED_MILLIS = 3_000;

  /** An unplanned disruption excuses a lack that begins so shortly after it. */
  static final long DISRUPTION_GRACE_MILLIS = 4_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<TaskName, Watch> watches = new HashMap<>();
  private final Set<String> recordAccepted = new HashSet<>();
  private final Set<String> cancelled = new HashSet<>();
  private long disruptedAt = NEVER;

  void recordAccepted(SubmissionSpec spec, long now) {
    if (!recordAccepted.add(spec.id())) {
      return;
    }
    for (int step = 0; step < spec.steps().size(); step++) {
      StepSpec watched = spec.steps().get(step);
      if (watched.flags().persistent() && watched.dependsOn().isEmpty()) {
        for (int index = 0; index < watched.count(); index++) {
          watch(new TaskName(spec.id(), 0, step, index)).idle(now);
        }
      }
    }
  }

  void recordCancelRequested(String id) {
    cancelled.add(id);
  }

  void recordStart(TaskName task) {
    watch(task).runs++;
  }

  void recordEnd(TaskName task, long now) {
    Watch watch = watch(task);
    watch.runs--;
    watch.idle(now);
  }

  void recordDisruption(long now) {
    disruptedAt = now;
  }

  /** Returns the tasks that have newly lacked a run for too long. */
  List<TaskName> findOverdue(Predicate<TaskName> room, long now) {
    List<TaskName> lacking = new ArrayList<>();
    for (Map.Entry<TaskName, Watch> entry : watches.entrySet()) {
      Watch watch = entry.getValue();
      if (!wanted(entry.getKey()) || watch.runs > 0 || watch.reported) {
        continue;
      }
      if (!room.test(entry.getKey())) {
        watch.lackingSince = Math.max(watch.lackingSince, now);
      } else if (now - watch.lackingSince >= MAX_UNSERVED_MILLIS
          && now - disruptedAt > MAX_UNSERVED_MILLIS + DISRUPTION_GRACE_MILLIS) {
        watch.reported = true;
        lacking.add(entry.getKey());
      }
    }
    return lacking;
  }

  /** Returns the tasks that are wanted and not at work. */
  List<TaskName> idleTasks() {
    return watches.keySet().stream()
        .filter(task -> wanted(task) && watches.get(task).runs == 0)
        .toList();
  }

  /** Returns for how long a task has had no run. */
  long idleMillis(TaskName task, long now) {
    return now - watches.get(task).idleSince;
  }

  private boolean wanted(TaskName task) {
    return recordAccepted.contains(task.submission()) && !cancelled.contains(task.submission());
  }

  private Watch watch(TaskName task) {
    return watches.computeIfAbsent(task, name -> new Watch());
  }

  /** What is known of one task. */
  private static final class Watch {

    private int runs;
    private long idleSince = NEVER;
    private long lackingSince = NEVER;
    private boolean reported;

    void idle(long now) {
      idleSince = now;
      lackingSince = now + RESTART_GRACE_MILLIS;
      reported = false;
    }
  }
}
