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
import org.hickorypier.daemon.worker.WorkerFleet;
import org.hickorypier.daemon.worker.WorkerHold;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.TaskState;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.platform.worker.WorkerErrorKind;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.platform.worker.WorkerStatus;

/**
 * Orders placed tasks from their workers and finds out what became of each.
 *
 * <p>Belongs to the control thread. Invariants: a task is reported {@code NOT_STARTED} only if no
 * byte of an order left or the worker refused every order sent. It is reported {@code LOST} only if
 * nothing of it can run any more. Until one of the two is known its room stays taken.
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
   * @param timers the time
   * @param control the control thread
   * @param self this instance's name and incarnation
   * @param startRule says whether tasks may start on a worker
   * @param listener hears how the tasks go
   */
  public Dispatcher(
      DispatchSettings settings,
      WorkerFleet fleet,
      TimerService timers,
      Executor control,
      String self,
      StartRule startRule,
      TaskListener listener) {
    this.settings = settings;
    this.fleet = fleet;
    this.timers = timers;
    this.control = control;
    this.controllerId = self;
    this.startRule = startRule;
    this.listener = listener;
  }

  /** Starts the regular questions after tasks on workers that others control. */
  public void start() {
    timers.every(Duration.ofMillis(settings.foreignPollMillis()), this::pollForeignTasks);
  }

  /**
   * Orders the start of a task.
   *
   * @param task the task and its worker
   * @param payload what the task is given
   */
  public void start(PlacedTask task, byte[] payload) {
    TaskRun run = new TaskRun(task, payload);
    runs.put(task.taskId(), run);
    sendStart(run);
  }

  /**
   * Follows a task that already runs, found after a takeover.
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
   * Tells whether a task is being followed.
   *
   * @param taskId the task
   * @return true until its end has been reported
   */
  public boolean isFollowed(TaskId taskId) {
    return runs.containsKey(taskId);
  }

  /**
   * Orders a running task to stop. Its end is reported as usual.
   *
   * @param taskId the task
   * @param checkpoint whether to keep a checkpoint
   */
  public void stop(TaskId taskId, boolean checkpoint) {
    TaskRun run = runs.get(taskId);
    if (run == null) {
      return;
    }
    Optional<WorkerHold> hold = fleet.hold(run.task().worker());
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
   * Learns the ends of tasks from a worker's status.
   *
   * @param status what the worker says
   */
  public void onWorkerStatus(WorkerStatus status) {
    Set<TaskId> named = new HashSet<>();
    for (TaskStatus task : status.tasks()) {
      named.add(parseOrNull(task.taskId()));
      TaskRun run = task.state().isEnded() ? runs.get(parseOrNull(task.taskId())) : null;
      if (run != null && !run.wantsAnswer()) {
        applyStatus(run, task);
      }
    }
    // A worker that has restarted and was claimed again at once renews its leases as before, and
    // says nothing of the tasks that it has forgotten. They would fill it for ever.
    for (TaskRun run : runsOnWorker(status.name())) {
      if (run.isStarted() && !run.isCallPending() && !named.contains(run.task().taskId())) {
        queryTask(run);
      }
    }
  }

  /**
   * Settles every task on a worker whose leases have run out.
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

  private List<TaskRun> selectRuns(Predicate<TaskRun> wanted) {
    return new ArrayList<>(runs.values().stream().filter(wanted).toList());
  }

  private void sendStart(TaskRun run) {
    // The worker may have been lost and claimed again since the task was placed on it.
    String worker = run.task().worker();
    Optional<WorkerHold> found =
        fleet.hold(worker).filter(hold -> startRule.mayStartOn(worker, hold.token()));
    if (found.isEmpty()) {
      handleMissingHold(run);
      return;
    }
    WorkerHold hold = found.get();
    run.recordOrderToken(hold.token());
    fleet.ordered(run.task().worker());
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
      fleet.refusedToken(run.task().worker());
    }
    if (noEffect && !run.isOrderUncertain()) {
      finish(run, TaskReport.withoutBody(TaskEnd.NOT_STARTED, error.getMessage()));
      return;
    }
    // The order may have started the task although no answer came. If its room were given away
    // now, the worker could be overfull; if it were ordered elsewhere, it could run twice. The
    // room stays taken until the worker itself has said what became of the order.
    run.setOrderUncertain(true);
    LOGGER.log(
        Level.INFO,
        "dispatch: start of {0} on {1} is uncertain, asking",
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
      // The worker refuses every order that we sent, even one that is still under way: nothing
      // runs. But it may have restarted and forgotten a task that ran before, so this is not proof
      // that it never did.
      finish(run, TaskReport.withoutBody(TaskEnd.LOST, "the worker does not know the task"));
    } else {
      // The order may still be under way. The same order again, with the same task id, starts it
      // at most once and brings an answer.
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
    Uni<byte[]> whole =
        service
            .answer(run.task().taskId().text())
            .collect()
            .in(ByteArrayOutputStream::new, ByteArrayOutputStream::writeBytes)
            .map(ByteArrayOutputStream::toByteArray);
    Uni<TaskReport> report =
        whole.flatMap(
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
      if (fleet.hold(run.task().worker()).isEmpty()) {
        queryTask(run);
      }
    }
  }

  private void retryLater(TaskRun run, Runnable step) {
    int doublings = Math.min(run.nextRetryNumber(), settings.maxRetryDoublings());
    timers.after(
        Duration.ofMillis(settings.initialRetryMillis() << doublings),
        () -> {
          if (!run.isEnded()) {
            step.run();
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
      TaskRun run, Uni<T> call, Consumer<T> answered, Consumer<Throwable> failed) {
    run.setCallPending(true);
    call.subscribe()
        .with(
            value -> control.execute(() -> handleReply(run, () -> answered.accept(value))),
            error -> control.execute(() -> handleReply(run, () -> failed.accept(error))));
  }

  private static void handleReply(TaskRun run, Runnable next) {
    run.setCallPending(false);
    if (!run.isEnded()) {
      next.run();
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
