package org.hickorypier.standins.worker;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.TaskState;
import org.hickorypier.platform.worker.TaskStatus;

/** One run of one task. Guarded by the lock of its worker. */
final class TaskRun {

  /** Usage is known only after a while, as on the platform. */
  private static final long USAGE_LAG_MILLIS = 1_000;

  private static final int FULL_PERCENT = 100;

  private final StartOrder order;
  private final TaskWork work;
  private final long startMillis;
  private final List<Runnable> watchers = new ArrayList<>();
  private long leaseEndMillis;
  private long endMillis = -1;
  private int percent = FULL_PERCENT;
  private TaskState state = TaskState.RUNNING;

  TaskRun(StartOrder order, TaskWork work, long startMillis) {
    this.order = order;
    this.work = work;
    this.startMillis = startMillis;
    this.leaseEndMillis = startMillis + order.leaseMillis();
  }

  StartOrder order() {
    return order;
  }

  TaskState state() {
    return state;
  }

  boolean isRunning() {
    return state == TaskState.RUNNING;
  }

  long endMillis() {
    return endMillis;
  }

  List<Runnable> watchers() {
    return watchers;
  }

  /** Returns when the task ends if nothing happens before that. */
  long plannedEndMillis() {
    return Math.min(workEndMillis(), leaseEndMillis);
  }

  void renew(long now, long leaseMillis) {
    leaseEndMillis = now + leaseMillis;
  }

  void throttle(int newPercent) {
    percent = newPercent;
  }

  void endAsPlanned() {
    boolean done = workEndMillis() <= leaseEndMillis;
    TaskState workEnd = work.fail() ? TaskState.FAILED : TaskState.COMPLETED;
    end(plannedEndMillis(), done ? workEnd : TaskState.LAPSED);
  }

  void end(long atMillis, TaskState endState) {
    endMillis = atMillis;
    state = endState;
  }

  TaskAnswer answer() {
    return new TaskAnswer(order.taskId(), state, work, order.payload());
  }

  TaskStatus status(long now, long token) {
    boolean known = now - startMillis >= USAGE_LAG_MILLIS;
    long processors = used(work.usedMilliProcessors(), order.milliProcessors()) * percent;
    long memory = used(work.usedMemoryMebibytes(), order.memoryMebibytes());
    return new TaskStatus(
        order.taskId(),
        state,
        order.owner(),
        order.workClass(),
        order.milliProcessors(),
        order.memoryMebibytes(),
        order.accelerators(),
        known ? processors / FULL_PERCENT : 0,
        known ? memory : 0,
        token);
  }

  TaskHistory history() {
    return new TaskHistory(
        order.taskId(),
        TaskHistory.workKey(order.taskId()),
        order.owner(),
        order.token(),
        startMillis,
        endMillis,
        state,
        order.milliProcessors(),
        order.memoryMebibytes(),
        order.accelerators());
  }

  private static long used(long stated, long reserved) {
    return stated == 0 ? reserved : stated;
  }

  private long workEndMillis() {
    return work.service() ? Long.MAX_VALUE : startMillis + work.runMillis();
  }
}
