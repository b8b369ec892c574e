package org.hickorypier.daemon.work;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.core.permits.Holder;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.core.scheduling.SchedulerFactory;
import org.hickorypier.core.scheduling.SchedulerSettings;
import org.hickorypier.core.scheduling.TaskEnd;
import org.hickorypier.daemon.cluster.PeerDigests;
import org.hickorypier.daemon.cluster.PermitDemands;
import org.hickorypier.daemon.log.AppendSettings;
import org.hickorypier.daemon.log.FollowSettings;
import org.hickorypier.daemon.log.LogAppender;
import org.hickorypier.daemon.log.LogFollower;
import org.hickorypier.daemon.permit.PermitService;
import org.hickorypier.daemon.permit.TaskOwners;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.daemon.worker.ControlView;
import org.hickorypier.daemon.worker.WorkerFleet;
import org.hickorypier.daemon.worker.WorkerLeaseSettings;
import org.hickorypier.platform.log.LogPage;
import org.hickorypier.platform.log.LogRange;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.record.PermitRecord;
import org.hickorypier.wire.record.PermitRecord.Hold;
import org.hickorypier.wire.record.PermitRecord.Limit;

/**
 * The work service, scheduler and permits of one instance with one worker, on a manual clock.
 * Placed tasks are never sent to the worker; a test decides how they end. Not thread-safe.
 */
final class WorkServiceFixture {

  static final String TEAM = "norte";
  static final String OTHER_CONTROLLER = "entry-2#1";

  private static final Holder SELF = new Holder("entry-1", 1);
  private static final Resources TASK_RESOURCES = new Resources(1_000, 1_024, 0);
  private static final WorkerDescription WORKER =
      new WorkerDescription("worker-1", "dc1", "rack1", new Resources(16_000, 65_536, 0), 8);
  private static final long LEASE_MILLIS = 5_000;
  private static final long DEADLINE_MILLIS = 10_000;
  private static final int ANSWER_CACHE_BYTES = 1_024;

  /** Each cached answer takes some 200 bytes. */
  static final int MAX_CACHED_ANSWERS = ANSWER_CACHE_BYTES / 200;

  final ManualTimerService timers = new ManualTimerService();
  final List<PlacedTask> placed = new ArrayList<>();
  final List<WorkResult> answers = new ArrayList<>();
  final WorkService work;
  final PermitService permits;
  private final Scheduler scheduler =
      SchedulerFactory.create(SchedulerSettings.defaults().withQueueLimit(100), 7);
  private final TaskOwners owners =
      new TaskOwners((worker, owner) -> permits().covers(worker, owner));
  private long offset;

  WorkServiceFixture() {
    work =
        new WorkService(
            new WorkSettings(3, 60_000, ANSWER_CACHE_BYTES, 1_000, 50, 600_000),
            scheduler,
            timers,
            timers,
            (placement, decision) -> placed.addAll(placement.tasks()),
            new WorkObserver() {});
    permits =
        new PermitService(
            SELF,
            new PermitDemands(
                scheduler, new PeerDigests(scheduler, owners::isOurs), owners, work, worker -> {}),
            timers,
            task -> timers.after(Duration.ZERO, task));
    work.beforePlacing(permits::recount);
    WorkerFleet fleet =
        new WorkerFleet(
            new WorkerLeaseSettings(LEASE_MILLIS, 1_000, 1_000),
            timers,
            timers,
            address -> null,
            new SoleController(),
            SELF.toString());
    work.start(
        new Dispatcher(
            new DispatchSettings(LEASE_MILLIS, 100, 5, 2_000),
            fleet,
            timers,
            timers,
            SELF.toString(),
            (worker, token) -> true,
            work));
    openLog();
    scheduler.putWorker(WORKER, true);
  }

  private PermitService permits() {
    return permits;
  }

  /** Applies records of the team's limit and of the permits that this instance holds below it. */
  void setLimitAndHold(int limit, int count) {
    permits.onRecord(offset++, new Limit(TEAM, 1, limit));
    planPermits();
    permits.onRecord(offset++, new Hold(SELF.instance(), SELF.incarnation(), offset, TEAM, count));
  }

  void submit(String requestId, boolean idempotent) {
    long now = timers.nowMillis();
    WorkItem item =
        new WorkItem(
            new WorkKey(TEAM, requestId),
            WorkClass.REQUEST,
            "",
            TASK_RESOURCES,
            1,
            idempotent,
            now,
            now + DEADLINE_MILLIS,
            0);
    work.submit(new Submission(item, new byte[0]), answers::add);
  }

  /** Adopts a task that another instance started and whose permit that instance still holds. */
  TaskId adoptForeignTask(String requestId) {
    TaskId taskId = new TaskId(new WorkKey(TEAM, requestId), 1, 0);
    long now = timers.nowMillis();
    WorkItem item =
        new WorkItem(taskId.key(), WorkClass.BATCH, "", TASK_RESOURCES, 1, false, now, now, 0);
    owners.put(taskId, OTHER_CONTROLLER);
    work.adopt(new PlacedTask(taskId, WORKER.name(), WorkClass.BATCH, TASK_RESOURCES), item);
    planPermits();
    return taskId;
  }

  /** Records the end of a request that another instance ran. */
  void recordEndedForeignTask(String requestId) {
    TaskId taskId = new TaskId(new WorkKey(TEAM, requestId), 1, 0);
    work.recordEndedForeignTask(
        new PlacedTask(taskId, "worker that has left", WorkClass.REQUEST, TASK_RESOURCES));
  }

  private void planPermits() {
    permits.planSoon(TEAM);
    timers.advance(Duration.ZERO);
  }

  void endTask(TaskId taskId, TaskEnd end) {
    work.onEnded(taskId, TaskReport.withoutBody(end, "ended by the test"));
  }

  List<String> placedRequests() {
    return placed.stream().map(task -> task.taskId().key().requestId()).toList();
  }

  private void openLog() {
    MessagePackCodec<PermitRecord> codec = new MessagePackCodec<>(PermitRecord.class);
    LogService log = new SilentLog();
    LogFollower<PermitRecord> follower =
        new LogFollower<>(
            log, "permits", codec, timers, timers, new Random(7), FollowSettings.DEFAULT);
    permits.connect(
        new LogAppender<>(
            log,
            "permits",
            codec,
            PermitRecord::recordId,
            timers,
            timers,
            new Random(8),
            AppendSettings.DEFAULT),
        follower);
    follower.start(0);
  }

  /** A log without records that answers no append; the tests apply records directly. */
  private static final class SilentLog implements LogService {

    private boolean firstReadAnswered;

    @Override
    public Uni<Long> append(String stream, List<byte[]> records) {
      return Uni.createFrom().nothing();
    }

    @Override
    public Uni<LogPage> read(String stream, long from, int limit, Duration wait) {
      if (firstReadAnswered) {
        return Uni.createFrom().nothing();
      }
      firstReadAnswered = true;
      return Uni.createFrom().item(new LogPage(List.of(), from));
    }

    @Override
    public Uni<LogRange> range(String stream) {
      return Uni.createFrom().nothing();
    }
  }

  private static final class SoleController implements ControlView {

    @Override
    public boolean shouldControl(String worker) {
      return true;
    }

    @Override
    public boolean isLive(String controller) {
      return false;
    }

    @Override
    public boolean isDrained(String name) {
      return false;
    }

    @Override
    public void offer(String worker) {
      // There is no other controller to offer the worker to.
    }
  }
}
