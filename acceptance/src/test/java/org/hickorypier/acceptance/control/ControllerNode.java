package org.hickorypier.acceptance.control;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.TaskEnd;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;
import org.hickorypier.daemon.work.DispatchSettings;
import org.hickorypier.daemon.work.Dispatcher;
import org.hickorypier.daemon.work.TaskListener;
import org.hickorypier.daemon.work.TaskReport;
import org.hickorypier.daemon.worker.ControlView;
import org.hickorypier.daemon.worker.WorkerFleet;
import org.hickorypier.daemon.worker.WorkerFleetListener;
import org.hickorypier.daemon.worker.WorkerLeaseSettings;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.platform.worker.WorkerStatus;
import org.hickorypier.standins.fault.ManualTime;
import org.hickorypier.standins.worker.FakeWorkerService;
import org.hickorypier.standins.worker.InMemoryWorker;

/**
 * One instance as far as it controls workers: the real fleet and dispatcher, over fakes.
 *
 * <p>Not thread safe. While it is paused nothing runs in it; timers that fall due and answers that
 * come in meanwhile are worked off on resumption, as after SIGSTOP and SIGCONT.
 */
final class ControllerNode implements TimerService, Executor {

  static final long LEASE_MILLIS = 30_000;
  static final long RENEWAL_MILLIS = 10_000;
  static final long MARGIN_MILLIS = 2_000;

  private final ManualTime time;
  private final String name;
  private final Deque<Runnable> inbox = new ArrayDeque<>();
  private final Map<String, FakeWorkerService> links = new HashMap<>();
  private final Set<String> wanted = new HashSet<>();
  private final Set<String> gone = new HashSet<>();
  private final Map<TaskId, TaskReport> reports = new HashMap<>();
  private final Map<TaskId, Long> reportTimes = new HashMap<>();
  private final WorkerFleet fleet;
  private final Dispatcher dispatcher;
  private boolean spoken = true;
  private boolean paused;
  private boolean draining;

  ControllerNode(ManualTime time, String name, List<InMemoryWorker> workers) {
    this.time = time;
    this.name = name;
    workers.forEach(
        worker -> links.put(worker.profile().name(), new FakeWorkerService(worker, time)));
    fleet =
        new WorkerFleet(
            new WorkerLeaseSettings(LEASE_MILLIS, RENEWAL_MILLIS, MARGIN_MILLIS),
            this,
            this,
            links::get,
            new View(),
            name);
    dispatcher =
        new Dispatcher(
            new DispatchSettings(LEASE_MILLIS, 500, 4, 5_000),
            fleet,
            this,
            this,
            name,
            (worker, token) -> spoken,
            listener());
    fleet.start(new FleetEvents());
    dispatcher.start();
  }

  String name() {
    return name;
  }

  FakeWorkerService link(String worker) {
    return links.get(worker);
  }

  /** Makes this the wanted controller of a worker, and looks after it at once. */
  void want(String worker, List<ListedInstance> list) {
    wanted.add(worker);
    execute(() -> fleet.onInstanceList(list));
  }

  /** Takes another controller for gone. */
  void seeGone(ControllerNode other) {
    gone.add(other.name);
  }

  void tick() {
    execute(fleet::checkWorkers);
  }

  void start(TaskId id, String worker, Resources reserved, WorkClass workClass, byte[] payload) {
    execute(() -> dispatcher.start(new PlacedTask(id, worker, workClass, reserved), payload));
  }

  boolean holds(String worker) {
    return fleet.controlledWorkers().contains(worker);
  }

  /** Tells whether the tasks on all workers that this instance is wanted for are known. */
  boolean knowsAllTasks() {
    return fleet.areTasksKnown();
  }

  TaskEnd end(TaskId id) {
    TaskReport report = reports.get(id);
    return report == null ? null : report.end();
  }

  TaskReport report(TaskId id) {
    return reports.get(id);
  }

  long reportMillis(TaskId id) {
    return reportTimes.get(id);
  }

  /** Says whether this instance's word for its workers has been read back from the log. */
  void setSpoken(boolean readBack) {
    spoken = readBack;
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    drain();
  }

  @Override
  public void execute(Runnable task) {
    inbox.add(task);
    drain();
  }

  @Override
  public long nowMillis() {
    return time.getAsLong();
  }

  @Override
  public TimerSubscription every(Duration period, Runnable task) {
    boolean[] cancelled = {false};
    rearm(period, task, cancelled);
    return () -> cancelled[0] = true;
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable task) {
    boolean[] cancelled = {false};
    time.after(delay.toMillis(), () -> execute(() -> runUnless(cancelled, task)));
    return () -> cancelled[0] = true;
  }

  private void rearm(Duration period, Runnable task, boolean[] cancelled) {
    Runnable run =
        () -> {
          runUnless(cancelled, task);
          rearm(period, task, cancelled);
        };
    time.after(period.toMillis(), () -> execute(run));
  }

  private static void runUnless(boolean[] cancelled, Runnable task) {
    if (!cancelled[0]) {
      task.run();
    }
  }

  private void drain() {
    if (draining) {
      return;
    }
    draining = true;
    while (!paused && !inbox.isEmpty()) {
      inbox.poll().run();
    }
    draining = false;
  }

  private TaskListener listener() {
    return new TaskListener() {
      @Override
      public void onStarted(TaskId taskId) {
        // The worker's record tells of starts.
      }

      @Override
      public void onEnded(TaskId taskId, TaskReport end) {
        reports.put(taskId, end);
        reportTimes.put(taskId, time.getAsLong());
      }
    };
  }

  private final class View implements ControlView {

    @Override
    public boolean shouldControl(String worker) {
      return wanted.contains(worker);
    }

    @Override
    public boolean isLive(String controller) {
      return !gone.contains(controller);
    }

    @Override
    public boolean isDrained(String drained) {
      return false;
    }

    @Override
    public void offer(String worker) {
      // These tests move control by takeover only.
    }
  }

  private final class FleetEvents implements WorkerFleetListener {

    @Override
    public void onStatus(WorkerDescription worker, WorkerStatus status, boolean open) {
      dispatcher.onWorkerStatus(status);
    }

    @Override
    public void onClosed(String worker, String reason) {
      // Placement is not part of these tests.
    }

    @Override
    public void onLost(String worker) {
      dispatcher.onWorkerLost(worker);
    }
  }
}
