package org.hickorypier.daemon.work;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.daemon.permit.PermitService;
import org.hickorypier.daemon.permit.TaskOwners;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.worker.WorkerFleetListener;
import org.hickorypier.platform.worker.TaskState;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.platform.worker.WorkerStatus;

/**
 * Passes worker status on to the scheduler and adopts tasks that are found running on workers.
 *
 * <p>Confined to the control thread. A task that another instance started still uses resources of
 * the worker; if it were not counted, the worker would be overcommitted.
 */
public final class TaskAdopter implements WorkerFleetListener {

  private static final Logger LOGGER = System.getLogger(TaskAdopter.class.getName());

  private final Scheduler scheduler;
  private final WorkService work;
  private final Dispatcher dispatcher;
  private final TimerService timers;
  private final PermitService permits;
  private final TaskOwners owners;
  private final String controllerId;
  private final Map<String, WorkerDescription> descriptions = new HashMap<>();
  private final Set<String> awaitingStartPermission = new HashSet<>();

  /**
   * Creates the adopter.
   *
   * @param scheduler receives workers and resource usage
   * @param work receives adopted and ended tasks
   * @param dispatcher follows tasks
   * @param timers the clock
   * @param permits adopts workers for this instance and decides whether tasks may start on them
   * @param owners records which instance started each task on this instance's workers
   * @param controllerId this instance's name and incarnation
   */
  public TaskAdopter(
      Scheduler scheduler,
      WorkService work,
      Dispatcher dispatcher,
      TimerService timers,
      PermitService permits,
      TaskOwners owners,
      String controllerId) {
    this.scheduler = scheduler;
    this.work = work;
    this.dispatcher = dispatcher;
    this.timers = timers;
    this.permits = permits;
    this.owners = owners;
    this.controllerId = controllerId;
  }

  @Override
  public void onStatus(WorkerDescription worker, WorkerStatus status, boolean open) {
    descriptions.put(worker.name(), worker);
    boolean mayStart = permits.mayStartOn(worker.name(), status.token());
    scheduler.putWorker(worker, open && mayStart);
    awaitingStartPermission.remove(worker.name());
    if (open && !mayStart) {
      awaitingStartPermission.add(worker.name());
    }
    for (TaskStatus task : status.tasks()) {
      if (task.state() == TaskState.RUNNING) {
        handleRunningTask(worker.name(), task);
      } else if (hasAnswer(task) && !task.owner().equals(controllerId)) {
        handleEndedTask(worker.name(), task);
      }
    }
    permits.speakFor(worker.name(), status.token(), status.tasks());
    dispatcher.onWorkerStatus(status);
    work.placeQueuedWork();
  }

  /**
   * Opens a worker to new tasks if it was closed only because tasks could not start on it yet.
   *
   * @param worker the worker's name
   */
  public void openIfAwaitingPermission(String worker) {
    if (awaitingStartPermission.remove(worker)) {
      scheduler.putWorker(descriptions.get(worker), true);
      work.placeQueuedWork();
    }
  }

  @Override
  public void onClosed(String worker, String reason) {
    WorkerDescription description = descriptions.get(worker);
    awaitingStartPermission.remove(worker);
    if (description != null) {
      LOGGER.log(Level.INFO, "work: worker {0} accepts no new tasks: {1}", worker, reason);
      scheduler.putWorker(description, false);
    }
  }

  @Override
  public void onLost(String worker) {
    dispatcher.onWorkerLost(worker);
    scheduler.removeWorker(worker);
    descriptions.remove(worker);
    awaitingStartPermission.remove(worker);
  }

  private static boolean hasAnswer(TaskStatus task) {
    return task.state() == TaskState.COMPLETED || task.state() == TaskState.FAILED;
  }

  private void handleEndedTask(String worker, TaskStatus task) {
    try {
      TaskId taskId = TaskId.parse(task.taskId());
      if (!dispatcher.isFollowed(taskId)) {
        work.recordEndedForeignTask(toPlacedTask(worker, taskId, task));
      }
    } catch (IllegalArgumentException error) {
      LOGGER.log(
          Level.WARNING,
          "work: worker {0} ran task {1}, which is not a task of this scheduler",
          worker,
          task.taskId());
    }
  }

  private static PlacedTask toPlacedTask(String worker, TaskId taskId, TaskStatus task) {
    Resources reserved =
        new Resources(task.milliProcessors(), task.memoryMebibytes(), task.accelerators());
    return new PlacedTask(taskId, worker, WorkClass.valueOf(task.workClass()), reserved);
  }

  private void handleRunningTask(String worker, TaskStatus task) {
    try {
      TaskId taskId = TaskId.parse(task.taskId());
      if (dispatcher.isFollowed(taskId)) {
        Resources used = new Resources(task.usedMilliProcessors(), task.usedMemoryMebibytes(), 0);
        scheduler.reportUsage(taskId, used, timers.nowMillis());
      } else {
        adopt(worker, taskId, task);
      }
    } catch (IllegalArgumentException error) {
      LOGGER.log(
          Level.WARNING,
          "work: worker {0} runs task {1}, which is not a task of this scheduler",
          worker,
          task.taskId());
    }
  }

  private void adopt(String worker, TaskId taskId, TaskStatus task) {
    PlacedTask placed = toPlacedTask(worker, taskId, task);
    long now = timers.nowMillis();
    WorkItem item =
        new WorkItem(
            taskId.key(), placed.workClass(), "", placed.reserved(), 1, false, now, now, 0);
    owners.put(taskId, task.owner());
    LOGGER.log(Level.INFO, "work: adopted task {0} on worker {1}", task.taskId(), worker);
    work.adopt(placed, item);
  }
}
