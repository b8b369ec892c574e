package org.hickorypier.daemon.cluster;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.core.scheduling.WorkerSnapshot;
import org.hickorypier.daemon.operator.InstanceRow;
import org.hickorypier.daemon.operator.RefusedRow;
import org.hickorypier.daemon.operator.RunningRow;
import org.hickorypier.daemon.operator.WaitingRow;
import org.hickorypier.daemon.operator.WorkerRow;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.WorkObserver;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.daemon.worker.WorkerFleet;

/**
 * This instance's rows for operator queries.
 *
 * <p>Confined to the control thread. Only the latest refusals are retained, so that a burst of
 * refusals uses a bounded amount of memory.
 */
public final class LocalQueryRows implements WorkObserver {

  private static final int MAX_RETAINED_REFUSALS = 500;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final String name;
  private final String dataCentre;
  private final Scheduler scheduler;
  private final TimerService timers;
  private final Predicate<PlacedTask> isOurs;
  private final Deque<RetainedRefusal> refusals = new ArrayDeque<>();

  /**
   * Creates the row source without refusals.
   *
   * @param name this instance's name
   * @param dataCentre its data centre
   * @param scheduler the local scheduler
   * @param timers the clock and the periodic timers
   * @param isOurs whether a placed task belongs to this instance; its owner reports any other task
   */
  public LocalQueryRows(
      String name,
      String dataCentre,
      Scheduler scheduler,
      TimerService timers,
      Predicate<PlacedTask> isOurs) {
    this.name = name;
    this.dataCentre = dataCentre;
    this.scheduler = scheduler;
    this.timers = timers;
    this.isOurs = isOurs;
  }

  /**
   * Returns the tasks that this instance has placed.
   *
   * @return one row per task
   */
  public List<RunningRow> running() {
    Map<String, WorkerDescription> workers = new HashMap<>();
    scheduler.workers().forEach(room -> workers.put(room.worker().name(), room.worker()));
    return scheduler.placed().stream()
        .filter(isOurs)
        .map(
            task -> {
              WorkerDescription worker = workers.get(task.worker());
              return new RunningRow(
                  AttemptKey.workOf(task.taskId().key()),
                  task.workClass(),
                  name,
                  task.worker(),
                  worker == null ? "" : worker.dataCentre(),
                  worker == null ? "" : worker.rack(),
                  task.reserved());
            })
        .toList();
  }

  /**
   * Returns the work that waits at this instance.
   *
   * @return one row per item
   */
  public List<WaitingRow> waiting() {
    return scheduler.queued().stream().map(this::waitingRow).toList();
  }

  private WaitingRow waitingRow(WorkItem item) {
    return new WaitingRow(
        AttemptKey.workOf(item.key()),
        item.workClass(),
        name,
        dataCentre,
        item.tasks(),
        item.resources(),
        secondsSince(item.submittedMillis()));
  }

  /**
   * Returns the latest refusals.
   *
   * @return one row per refusal, newest first
   */
  public List<RefusedRow> refused() {
    return refusals.stream()
        .map(
            retained ->
                new RefusedRow(
                    AttemptKey.workOf(retained.item().key()),
                    retained.item().workClass(),
                    name,
                    dataCentre,
                    retained.refusal().reason(),
                    secondsSince(retained.refusedMillis())))
        .toList();
  }

  /**
   * Returns the workers that this instance controls.
   *
   * @param fleet the workers and the control of them
   * @return one row per worker
   */
  public List<WorkerRow> workers(WorkerFleet fleet) {
    return scheduler.workers().stream()
        .filter(room -> fleet.controlGrant(room.worker().name()).isPresent())
        .map(this::workerRow)
        .toList();
  }

  private WorkerRow workerRow(WorkerSnapshot room) {
    WorkerDescription worker = room.worker();
    return new WorkerRow(
        worker.name(),
        name,
        worker.dataCentre(),
        worker.rack(),
        room.state(),
        worker.slots(),
        room.freeSlots(),
        room.free());
  }

  /**
   * Returns this instance's own row.
   *
   * @param state the instance's state, one word
   * @param offset the applied configuration offset
   * @param fleet the workers and the control of them
   * @return the row
   */
  public InstanceRow instance(Supplier<String> state, long offset, WorkerFleet fleet) {
    return new InstanceRow(
        name,
        dataCentre,
        state.get(),
        offset,
        fleet.controlledWorkers().size(),
        running().size(),
        scheduler.queued().size());
  }

  @Override
  public void onStarted(WorkItem item, long waitedMillis) {}

  @Override
  public void onFinished(WorkItem item, WorkResult result, long totalMillis) {
    result.refusal().ifPresent(refusal -> retain(item, refusal));
  }

  private void retain(WorkItem item, Refusal refusal) {
    refusals.addFirst(new RetainedRefusal(item, refusal, timers.nowMillis()));
    if (refusals.size() > MAX_RETAINED_REFUSALS) {
      refusals.removeLast();
    }
  }

  private long secondsSince(long millis) {
    return (timers.nowMillis() - millis) / MILLIS_PER_SECOND;
  }

  private record RetainedRefusal(WorkItem item, Refusal refusal, long refusedMillis) {}
}
