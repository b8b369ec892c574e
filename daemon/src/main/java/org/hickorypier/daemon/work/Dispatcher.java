package org.hickorypier.daemon.work;

import io.smallrye.mutiny.Uni;
import java.io.ByteArrayOutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.TaskEnd;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.worker.ControlGrant;
import org.hickorypier.daemon.worker.WorkerFleet;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.TaskState;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.platform.worker.WorkerErrorKind;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.platform.worker.WorkerStatus;

/**
 * Starts placed tasks on their workers and determines how each task ends.
 *
 * <p>Confined to the control thread. Invariants: a task is reported {@code NOT_STARTED} only if no
 * byte of a start order was sent or the worker refused every order. It is reported {@code LOST}
 * only if no part of it can still run. Its reservation is held until its end is known.
 */
public final class Dispatcher {

  private static final Logger LOGGER = System.getLogger(Dispatcher.class.getName());

  private final DispatchSettings settings;
  private final WorkerFleet fleet;
  private final TimerService timers;
  private final Executor control;
  private final String controllerId;
  private final StartRule startRule;
  private final TaskListener listener;
  private final Map<TaskId, TaskRun> runs = new LinkedHashMap<>();

  /**
   * Creates a dispatcher without tasks.
   *
   * @param settings its limits
   * @param fleet the workers
   * @param timers the clock and timers
   * @param control the control thread
   * @param controllerId this instance's name and incarnation
   * @param startRule decides whether tasks may start on a worker
   * @param listener is notified of starts and ends of tasks
   */
  public Dispatcher(
      DispatchSettings settings,
      WorkerFleet fleet,
      TimerService timers,
      Executor control,
      String controllerId,
      StartRule startRule,
      TaskListener listener) {
    this.settings = settings;
    this.fleet = fleet;
    this.timers = timers;
    this.control = control;
    this.controllerId = controllerId;
    this.startRule = startRule;
    this.listener = listener;
  }

  /**
   * Starts the periodic status queries for tasks on workers that this instance does not control.
   */
  public void start() {
    timers.every(Duration.ofMillis(settings.foreignPollMillis()), this::pollForeignTasks);
  }

  /**
   * Starts a task on its worker.
   *
   * @param task the task and its worker
   * @param payload the input of the task
   */
  public void start(PlacedTask task, byte[] payload) {
    TaskRun run = new TaskRun(task, payload);
    runs.put(task.taskId(), run);
    sendStart(run);
  }

  /**
   * Follows a task that was already started, found after a takeover.
   *
   * @param task the task and its worker
   */
  public void adopt(PlacedTask task) {
    if (!runs.containsKey(task.taskId())) {
      TaskRun run = new TaskRun(task, TaskReport.NO_BODY);
      run.setStarted();
      runs.put(task.taskId(), run);
      collectAnswerIfWanted(run);
    }
  }

  /**
   * Returns whether a task is being followed.
   *
   * @param taskId the task
   * @return true until its end has been reported
   */
  public boolean isFollowed(TaskId taskId) {
    return runs.containsKey(taskId);
  }

  /**
   * Stops a running task. The listener is notified of its end.
   *
   * @param taskId the task; nothing is done if it is not followed
   * @param checkpoint whether the worker keeps a checkpoint
   */
  public void stop(TaskId taskId, boolean checkpoint) {
    TaskRun run = runs.get(taskId);
    if (run == null) {
      return;
    }
    Optional<ControlGrant> hold = fleet.controlGrant(run.task().worker());
    if (hold.isEmpty()) {
      retryLater(run, () -> stop(taskId, checkpoint));
      return;
    }
    callWorker(
        run,
        hold.get().service().stop(taskId.text(), hold.get().token(), checkpoint),
        status -> applyStatus(run, status),
        error -> retryLater(run, () -> stop(taskId, checkpoint)));
  }

  /**
   * Applies the task states in a worker's status report.
   *
   * @param status the report
   */
  public void onWorkerStatus(WorkerStatus status) {
    Set<TaskId> reported = new HashSet<>();
    for (TaskStatus task : status.tasks()) {
      reported.add(parseOrNull(task.taskId()));
      TaskRun run = task.state().isEnded() ? runs.get(parseOrNull(task.taskId())) : null;
      if (run != null && !run.wantsAnswer()) {
        applyStatus(run, task);
      }
    }
    // A worker that has restarted and was claimed again at once renews its leases as before, but no
    // longer reports the tasks that it ran. Their reservations would never be released.
    for (TaskRun run : runsOnWorker(status.name())) {
      if (run.isStarted() && !run.isCallPending() && !reported.contains(run.task().taskId())) {
        queryTask(run);
      }
    }
  }

  /**
   * Reports every task on a worker as lost, after the worker's leases have expired.
   *
   * @param worker the worker's name
   */
  public void onWorkerLost(String worker) {
    for (TaskRun run : runsOnWorker(worker)) {
      finish(run, TaskReport.withoutBody(TaskEnd.LOST, "the worker was lost"));
    }
  }

  private List<TaskRun> runsOnWorker(String worker) {
    return selectRuns(run -> run.task().worker().equals(worker));
  }

  private List<TaskRun> selectRuns(Predicate<TaskRun> condition) {
    return new ArrayList<>(runs.values().stream().filter(condition).toList());
  }

  private void sendStart(TaskRun run) {
    // The worker may have been lost and claimed again since the task was placed.
    String worker = run.task().worker();
    Optional<ControlGrant> found =
        fleet.controlGrant(worker).filter(hold -> startRule.mayStartOn(worker, hold.token()));
    if (found.isEmpty()) {
      handleMissingHold(run);
      return;
    }
    ControlGrant hold = found.get();
    run.recordOrderToken(hold.token());
    fleet.recordCommand(run.task().worker());
    PlacedTask task = run.task();
    StartOrder order =
        new StartOrder(
            task.taskId().text(),
            hold.token(),
            controllerId,
            task.workClass().name(),
            task.reserved().milliProcessors(),
            task.reserved().memoryMebibytes(),
            task.reserved().accelerators(),
            settings.leaseMillis(),
            run.payload());
    callWorker(
        run,
        hold.service().start(order),
        status -> applyStatus(run, status),
        e -> handleStartFailure(run, e));
  }

  private void handleMissingHold(TaskRun run) {
    if (run.isOrderUncertain()) {
      retryLater(run, () -> queryTask(run));
    } else {
      finish(run, TaskReport.withoutBody(TaskEnd.NOT_STARTED, "the worker has another controller"));
    }
  }

  private void handleStartFailure(TaskRun run, Throwable error) {
    boolean noEffect = error instanceof WorkerException known && known.kind().hadNoEffect();
    if (isStaleToken(error)) {
      fleet.onTokenRefused(run.task().worker());
    }
    if (noEffect && !run.isOrderUncertain()) {
      finish(run, TaskReport.withoutBody(TaskEnd.NOT_STARTED, error.getMessage()));
      return;
    }
    // The order may have started the task although no reply came. Releasing the reservation now
    // could overcommit the worker, and starting the task elsewhere could run it twice. The
    // reservation is held until the worker has reported the effect of the order.
    run.setOrderUncertain(true);
    LOGGER.log(
        Level.INFO,
        "dispatch: start of task {0} on worker {1} is uncertain; querying the worker",
        run.task().taskId().text(),
        run.task().worker());
    retryLater(run, () -> queryTask(run));
  }

  private void queryTask(TaskRun run) {
    WorkerService service = fleet.service(run.task().worker()).orElse(null);
    if (service == null) {
      finish(run, TaskReport.withoutBody(TaskEnd.LOST, "the worker was lost"));
      return;
    }
    callWorker(
        run,
        service.task(run.task().taskId().text()),
        status -> handleQueriedStatus(run, status),
        error -> retryLater(run, () -> queryTask(run)));
  }

  private void handleQueriedStatus(TaskRun run, TaskStatus status) {
    if (status.state() != TaskState.UNKNOWN) {
      applyStatus(run, status);
    } else if (run.isStarted()) {
      finish(run, TaskReport.withoutBody(TaskEnd.LOST, "the worker no longer knows the task"));
    } else if (status.token() > run.highestToken()) {
      // The worker's newer fencing token makes it refuse every order sent, even one in transit, so
      // nothing runs. It may have restarted since it ran the task, so this does not prove that the
      // task never ran.
      finish(run, TaskReport.withoutBody(TaskEnd.LOST, "the worker does not know the task"));
    } else {
      // The order may still be in transit. Sending it again with the same task id starts the task
      // at most once and brings a reply.
      sendStart(run);
    }
  }

  private void applyStatus(TaskRun run, TaskStatus status) {
    if (run.isEnded()) {
      return;
    }
    if (!run.isStarted() && status.state() != TaskState.UNKNOWN) {
      run.setStarted();
      listener.onStarted(run.task().taskId());
    }
    switch (status.state()) {
      case RUNNING -> collectAnswerIfWanted(run);
      case COMPLETED -> collectAnswerOrFinish(run, TaskEnd.COMPLETED, "");
      case FAILED -> collectAnswerOrFinish(run, TaskEnd.FAILED, "the task failed");
      case STOPPED -> finish(run, TaskReport.withoutBody(TaskEnd.STOPPED, "the task was stopped"));
      case LAPSED -> finish(run, TaskReport.withoutBody(TaskEnd.LOST, "the task's lease ran out"));
      case UNKNOWN -> handleQueriedStatus(run, status);
      default -> throw new IllegalStateException("task state " + status.state());
    }
  }

  private void collectAnswerIfWanted(TaskRun run) {
    if (run.wantsAnswer()) {
      collectAnswer(run);
    }
  }

  private void collectAnswerOrFinish(TaskRun run, TaskEnd end, String detail) {
    if (run.wantsAnswer()) {
      collectAnswer(run);
    } else {
      finish(run, TaskReport.withoutBody(end, detail));
    }
  }

  private void collectAnswer(TaskRun run) {
    if (run.isCallPending()) {
      return;
    }
    WorkerService service = fleet.service(run.task().worker()).orElse(null);
    if (service == null) {
      finish(run, TaskReport.withoutBody(TaskEnd.LOST, "the worker was lost"));
      return;
    }
    Uni<byte[]> wholeBody =
        service
            .answer(run.task().taskId().text())
            .collect()
            .in(ByteArrayOutputStream::new, ByteArrayOutputStream::writeBytes)
            .map(ByteArrayOutputStream::toByteArray);
    Uni<TaskReport> report =
        wholeBody.flatMap(
            body -> service.task(run.task().taskId().text()).map(status -> toReport(status, body)));
    callWorker(
        run, report, end -> finish(run, end), error -> retryLater(run, () -> queryTask(run)));
  }

  private static TaskReport toReport(TaskStatus status, byte[] body) {
    return switch (status.state()) {
      case COMPLETED -> new TaskReport(TaskEnd.COMPLETED, "", body);
      case FAILED -> new TaskReport(TaskEnd.FAILED, "the task failed", body);
      case STOPPED -> TaskReport.withoutBody(TaskEnd.STOPPED, "the task was stopped");
      case LAPSED -> TaskReport.withoutBody(TaskEnd.LOST, "the task's lease ran out");
      default -> TaskReport.withoutBody(TaskEnd.LOST, "the worker no longer knows the task");
    };
  }

  private void pollForeignTasks() {
    for (TaskRun run :
        selectRuns(run -> !run.wantsAnswer() && run.isStarted() && !run.isCallPending())) {
      if (fleet.controlGrant(run.task().worker()).isEmpty()) {
        queryTask(run);
      }
    }
  }

  private void retryLater(TaskRun run, Runnable action) {
    int doublings = Math.min(run.nextRetryNumber(), settings.maxRetryDoublings());
    timers.after(
        Duration.ofMillis(settings.initialRetryMillis() << doublings),
        () -> {
          if (!run.isEnded()) {
            action.run();
          }
        });
  }

  private void finish(TaskRun run, TaskReport report) {
    if (run.isEnded()) {
      return;
    }
    run.setEnded();
    runs.remove(run.task().taskId());
    listener.onEnded(run.task().taskId(), report);
  }

  private <T> void callWorker(
      TaskRun run, Uni<T> call, Consumer<T> onReply, Consumer<Throwable> onFailure) {
    run.setCallPending(true);
    call.subscribe()
        .with(
            value -> control.execute(() -> handleReply(run, () -> onReply.accept(value))),
            error -> control.execute(() -> handleReply(run, () -> onFailure.accept(error))));
  }

  private static void handleReply(TaskRun run, Runnable action) {
    run.setCallPending(false);
    if (!run.isEnded()) {
      action.run();
    }
  }

  private static boolean isStaleToken(Throwable error) {
    return error instanceof WorkerException known && known.kind() == WorkerErrorKind.STALE_TOKEN;
  }

  private static TaskId parseOrNull(String text) {
    try {
      return TaskId.parse(text);
    } catch (IllegalArgumentException error) {
      return null;
    }
  }
}
