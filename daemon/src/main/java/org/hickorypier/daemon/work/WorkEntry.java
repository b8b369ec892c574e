package org.hickorypier.daemon.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.TaskEnd;

/**
 * The state of one work item at this instance, from its submission until its final answer.
 *
 * <p>Confined to the control thread. Invariant: once {@code result} is set it never changes, and
 * every waiter receives it exactly once.
 */
final class WorkEntry {

  private final Submission submission;
  private final List<Consumer<WorkResult>> waiters = new ArrayList<>();
  private final Map<TaskId, PlacedTask> liveTasks = new HashMap<>();
  private final List<TaskReport> reports = new ArrayList<>();
  private WorkResult result;
  private boolean cancelled;
  private boolean queued;
  private boolean movable = true;
  private boolean mayHaveRun;
  private int retries;
  private int startedTasks;
  private long placedMillis;

  WorkEntry(Submission submission) {
    this.submission = submission;
    this.mayHaveRun = submission.mayHaveRun();
  }

  WorkItem item() {
    return submission.item();
  }

  Submission submission() {
    return submission;
  }

  void addWaiter(Consumer<WorkResult> waiter) {
    if (result != null) {
      waiter.accept(result);
    } else {
      waiters.add(waiter);
    }
  }

  void finish(WorkResult finalResult) {
    if (result != null) {
      return;
    }
    result = finalResult;
    List<Consumer<WorkResult>> toNotify = List.copyOf(waiters);
    waiters.clear();
    toNotify.forEach(waiter -> waiter.accept(finalResult));
  }

  /** Returns whether the work may be sent to a peer; work that its home sent here may not. */
  boolean isMovable() {
    return movable;
  }

  void setMovable(boolean mayMove) {
    movable = mayMove;
  }

  boolean isFinished() {
    return result != null;
  }

  boolean isQueued() {
    return queued;
  }

  void setQueued(boolean inQueue) {
    queued = inQueue;
  }

  void recordPlacement(List<PlacedTask> tasks, long now) {
    queued = false;
    placedMillis = now;
    startedTasks = 0;
    reports.clear();
    tasks.forEach(task -> liveTasks.put(task.taskId(), task));
  }

  long placedMillis() {
    return placedMillis;
  }

  void recordStart() {
    startedTasks++;
  }

  boolean hasStarted() {
    return startedTasks > 0;
  }

  List<PlacedTask> liveTasks() {
    return List.copyOf(liveTasks.values());
  }

  /** Records the end of a task and returns true if it was the last live task. */
  boolean recordEnd(TaskId taskId, TaskReport report) {
    if (liveTasks.remove(taskId) == null) {
      return false;
    }
    reports.add(report);
    mayHaveRun |= report.end() != TaskEnd.NOT_STARTED;
    return liveTasks.isEmpty();
  }

  List<TaskReport> reports() {
    return List.copyOf(reports);
  }

  /** Returns whether an earlier attempt or try may have run, so that "not run" may be false. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void markCancelled() {
    cancelled = true;
  }

  int retries() {
    return retries;
  }

  void countRetry() {
    retries++;
  }
}
