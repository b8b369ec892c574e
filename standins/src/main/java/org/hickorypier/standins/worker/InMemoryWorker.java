package org.hickorypier.standins.worker;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.TaskState;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.platform.worker.WorkerErrorKind;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.platform.worker.WorkerStatus;

/**
 * A worker, in memory: who controls it, what it runs and what it ran.
 *
 * <p>Invariants, unless a safeguard is switched off: the control token only rises; no order with
 * another token takes effect; a task id starts once; the running tasks fit into the worker. A task
 * ends by itself at the exact moment that its work or its lease says, however late that is noticed.
 * Thread safe. Reads the clock only through the supplier.
 */
public final class InMemoryWorker {

  private static final int FULL_PERCENT = 100;

  private final WorkerProfile profile;
  private final LongSupplier clock;
  private final HistoryBook book = new HistoryBook();
  private final List<TaskRun> running = new ArrayList<>();
  private final EndedTasks ended = new EndedTasks();
  private WorkerConditions conditions = WorkerConditions.NORMAL;
  private long token;
  private String controller = "";

  /**
   * Creates a worker that runs nothing.
   *
   * @param profile what the worker is
   * @param clock the time in milliseconds
   */
  public InMemoryWorker(WorkerProfile profile, LongSupplier clock) {
    this.profile = profile;
    this.clock = clock;
  }

  /**
   * Returns what the worker is.
   *
   * @return the profile
   */
  public WorkerProfile profile() {
    return profile;
  }

  /**
   * Changes the worker's condition.
   *
   * @param newConditions the condition from now on
   */
  public synchronized void conditions(WorkerConditions newConditions) {
    conditions = newConditions;
  }

  /** Loses all tasks as a restart does; the token rises so that no earlier one is accepted. */
  public void restart() {
    List<Runnable> watchers = new ArrayList<>();
    synchronized (this) {
      endDue(watchers);
      long now = clock.getAsLong();
      for (TaskRun run : running) {
        end(run, now, TaskState.FAILED, watchers);
      }
      running.clear();
      ended.clear();
      token++;
      controller = "";
    }
    watchers.forEach(Runnable::run);
  }

  /** Ends the tasks whose time has come. Every other call does so first. */
  public void settle() {
    List<Runnable> watchers = new ArrayList<>();
    synchronized (this) {
      endDue(watchers);
    }
    watchers.forEach(Runnable::run);
  }

  /**
   * Tells what the worker is and runs.
   *
   * @return the status
   */
  public WorkerStatus status() {
    settle();
    synchronized (this) {
      long now = clock.getAsLong();
      List<TaskStatus> tasks =
          Stream.concat(running.stream(), ended.listed().stream())
              .map(run -> run.status(now, token))
              .toList();
      return new WorkerStatus(
          profile.name(),
          profile.dataCentre(),
          profile.rack(),
          profile.milliProcessors(),
          profile.memoryMebibytes(),
          profile.accelerators(),
          profile.slots(),
          conditions.leaving(),
          token,
          controller,
          tasks);
    }
  }

  /**
   * Grants control if the token is still the observed one.
   *
   * @param newController the new controller
   * @param observedToken the token it saw
   * @return the status under the new token
   * @throws WorkerException if the token has risen
   */
  public WorkerStatus claim(String newController, long observedToken) throws WorkerException {
    synchronized (this) {
      checkToken(observedToken);
      token++;
      controller = newController;
    }
    return status();
  }

  /**
   * Renews the leases of all running tasks.
   *
   * @param orderToken the controller's token
   * @param leaseMillis how long the leases run from now
   * @return the status
   * @throws WorkerException if the token is stale
   */
  public WorkerStatus renew(long orderToken, long leaseMillis) throws WorkerException {
    settle();
    synchronized (this) {
      checkToken(orderToken);
      long now = clock.getAsLong();
      running.forEach(run -> run.renew(now, leaseMillis));
    }
    return status();
  }

  /**
   * Starts a task, unless its id is known.
   *
   * @param order the order
   * @return the task's status and whether it is new
   * @throws WorkerException if the order is refused
   */
  public StartResult start(StartOrder order) throws WorkerException {
    settle();
    synchronized (this) {
      StartOrders.check(order);
      checkToken(order.token());
      long now = clock.getAsLong();
      TaskRun known = find(order.taskId());
      if (known != null && conditions.enforces(WorkerSafeguard.TASK_ID)) {
        return new StartResult(known.status(now, token), false);
      }
      if (conditions.leaving()) {
        throw refusal(WorkerErrorKind.LEAVING, "leaving");
      }
      if (conditions.enforces(WorkerSafeguard.ROOM) && !StartOrders.fits(order, running, profile)) {
        throw refusal(WorkerErrorKind.NO_ROOM, "no room for " + order.taskId());
      }
      TaskWork work = TaskWork.of(order.payload());
      TaskRun run =
          new TaskRun(order, conditions.failingTasks() ? work.failingAtOnce() : work, now);
      running.add(run);
      book.started(running);
      return new StartResult(run.status(now, token), true);
    }
  }

  /**
   * Tells where a task stands.
   *
   * @param taskId the task's id
   * @return its status, {@code UNKNOWN} with the current token if it never started
   */
  public TaskStatus task(String taskId) {
    settle();
    synchronized (this) {
      TaskRun run = find(taskId);
      return run == null ? unknown(taskId) : run.status(clock.getAsLong(), token);
    }
  }

  /**
   * Stops a task.
   *
   * @param taskId the task's id
   * @param orderToken the controller's token
   * @return the task's status
   * @throws WorkerException if the token is stale
   */
  public TaskStatus stop(String taskId, long orderToken) throws WorkerException {
    List<Runnable> watchers = new ArrayList<>();
    synchronized (this) {
      endDue(watchers);
      checkToken(orderToken);
      TaskRun run = find(taskId);
      if (run != null && run.isRunning()) {
        end(run, clock.getAsLong(), TaskState.STOPPED, watchers);
        running.remove(run);
      }
    }
    watchers.forEach(Runnable::run);
    return task(taskId);
  }

  /**
   * Limits a task to a share of its processors.
   *
   * @param taskId the task's id
   * @param orderToken the controller's token
   * @param percent the share
   * @return the task's status
   * @throws WorkerException if the token is stale or the share out of range
   */
  public TaskStatus throttle(String taskId, long orderToken, int percent) throws WorkerException {
    settle();
    synchronized (this) {
      checkToken(orderToken);
      if (percent < 1 || percent > FULL_PERCENT) {
        throw refusal(WorkerErrorKind.BAD_ORDER, "percent out of range: " + percent);
      }
      TaskRun run = find(taskId);
      if (run != null) {
        run.throttle(percent);
      }
    }
    return task(taskId);
  }

  /**
   * Returns the answer of a task.
   *
   * @param taskId the task's id
   * @return the answer, or empty while the task runs
   * @throws WorkerException if the task is unknown
   */
  public Optional<TaskAnswer> answer(String taskId) throws WorkerException {
    settle();
    synchronized (this) {
      TaskRun run = known(taskId);
      return run.isRunning() ? Optional.empty() : Optional.of(run.answer());
    }
  }

  /**
   * Returns the worker's own record.
   *
   * @return the history so far
   */
  public WorkerHistory history() {
    settle();
    synchronized (this) {
      return book.snapshot(profile, token, running);
    }
  }

  /** Returns when a task ends if nothing happens before that; 0 if it has ended. */
  synchronized long plannedEndMillis(String taskId) throws WorkerException {
    TaskRun run = known(taskId);
    return run.isRunning() ? run.plannedEndMillis() : 0;
  }

  /** Runs a task after the end of a running one. */
  synchronized void watch(String taskId, Runnable watcher) throws WorkerException {
    known(taskId).watchers().add(watcher);
  }

  synchronized void unwatch(String taskId, Runnable watcher) {
    TaskRun run = find(taskId);
    if (run != null) {
      run.watchers().remove(watcher);
    }
  }

  long nowMillis() {
    return clock.getAsLong();
  }

  private void endDue(List<Runnable> watchers) {
    long now = clock.getAsLong();
    for (Iterator<TaskRun> runs = running.iterator(); runs.hasNext(); ) {
      TaskRun run = runs.next();
      if (run.plannedEndMillis() <= now) {
        run.endAsPlanned();
        noteEnd(run, watchers);
        runs.remove();
      }
    }
    ended.forget(now);
  }

  private void end(TaskRun run, long now, TaskState state, List<Runnable> watchers) {
    run.end(now, state);
    noteEnd(run, watchers);
  }

  private void noteEnd(TaskRun run, List<Runnable> watchers) {
    book.ended(run);
    ended.add(run);
    watchers.addAll(run.watchers());
    run.watchers().clear();
  }

  private TaskRun find(String taskId) {
    for (TaskRun run : running) {
      if (run.order().taskId().equals(taskId)) {
        return run;
      }
    }
    return ended.get(taskId);
  }

  private TaskRun known(String taskId) throws WorkerException {
    TaskRun run = find(taskId);
    if (run == null) {
      throw refusal(WorkerErrorKind.BAD_ORDER, "unknown task " + taskId);
    }
    return run;
  }

  private void checkToken(long orderToken) throws WorkerException {
    if (orderToken != token && conditions.enforces(WorkerSafeguard.CONTROL_TOKEN)) {
      throw refusal(
          WorkerErrorKind.STALE_TOKEN, "control token is " + token + ", not " + orderToken);
    }
  }

  private TaskStatus unknown(String taskId) {
    return new TaskStatus(taskId, TaskState.UNKNOWN, "", "", 0, 0, 0, 0, 0, token);
  }

  private WorkerException refusal(WorkerErrorKind kind, String sentence) {
    return new WorkerException(kind, "worker " + profile.name() + ": " + sentence, null);
  }
}
