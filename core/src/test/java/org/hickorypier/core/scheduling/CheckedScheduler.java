package org.hickorypier.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.model.WorkerDescription;

/**
 * Wraps a scheduler, keeps a reference model of its work, tasks and workers, and compares the two.
 * Not thread-safe.
 */
final class CheckedScheduler {

  private final Scheduler scheduler;
  private final boolean workConserving;
  private final Map<WorkKey, Integer> waiting = new LinkedHashMap<>();
  private final Map<TaskId, PlacedTask> live = new LinkedHashMap<>();
  private final Map<WorkKey, WorkItem> resubmittable = new LinkedHashMap<>();
  private final Map<WorkKey, Integer> taskCounts = new HashMap<>();
  private final Set<TaskId> everPlaced = new HashSet<>();
  private final Map<String, WorkerDescription> workers = new LinkedHashMap<>();
  private final Map<String, Integer> permits = new HashMap<>();

  CheckedScheduler(Scheduler scheduler, boolean usesAllRoom) {
    this.scheduler = scheduler;
    this.workConserving = usesAllRoom;
  }

  List<PlacedTask> live() {
    return new ArrayList<>(live.values());
  }

  List<WorkItem> resubmittable() {
    return new ArrayList<>(resubmittable.values());
  }

  List<String> workerNames() {
    return new ArrayList<>(workers.keySet());
  }

  void submit(WorkItem item, long now) {
    boolean alreadyWaiting = waiting.containsKey(item.key());
    long liveTasks = live.keySet().stream().filter(id -> id.key().equals(item.key())).count();
    if (scheduler.submit(item, now).isPresent() || alreadyWaiting) {
      return;
    }
    boolean queued = scheduler.queued().stream().anyMatch(other -> other.key().equals(item.key()));
    assertThat(queued || liveTasks > 0).as("queued, or a duplicate of running work").isTrue();
    if (queued) {
      waiting.put(item.key(), item.tasks());
      resubmittable.put(item.key(), item);
      taskCounts.put(item.key(), item.tasks());
    }
  }

  void place(long now) {
    for (Placement placement : scheduler.place(now)) {
      WorkItem item = placement.item();
      assertThat(item.deadlineMillis()).isGreaterThanOrEqualTo(item.tasks() > 1 ? 0 : now);
      for (PlacedTask task : placement.tasks()) {
        assertThat(everPlaced.add(task.taskId())).as("task is placed only once: " + task).isTrue();
        live.put(task.taskId(), task);
      }
      waiting.merge(item.key(), -placement.tasks().size(), Integer::sum);
      waiting.remove(item.key(), 0);
      checkPermits(item.key().team());
      checkTaskCount(item.key());
    }
    if (workConserving) {
      checkWorkConserving(now);
    }
  }

  /** Checks that no queue head that may start waits while an open worker fits it. */
  private void checkWorkConserving(long now) {
    Set<String> seen = new HashSet<>();
    Map<String, Long> placedOfTeam =
        live.keySet().stream()
            .collect(Collectors.groupingBy(id -> id.key().team(), Collectors.counting()));
    for (WorkItem item : scheduler.queued()) {
      boolean started = waiting.get(item.key()) < item.tasks();
      boolean late = item.deadlineMillis() < now && !started;
      boolean isHead = !late && seen.add(item.key().team() + item.workClass());
      String team = item.key().team();
      boolean permitted = placedOfTeam.getOrDefault(team, 0L) < permits.getOrDefault(team, 0);
      if (isHead && permitted && item.workClass() != WorkClass.GANG) {
        assertThat(scheduler.workers())
            .as("workers with free resources for waiting " + item)
            .noneMatch(snapshot -> acceptsTask(snapshot, item.resources()));
      }
    }
  }

  private boolean acceptsTask(WorkerSnapshot snapshot, Resources need) {
    boolean idle = snapshot.freeSlots() == snapshot.worker().slots();
    boolean admits = snapshot.state().equals("open") || snapshot.state().equals("probing") && idle;
    return admits && snapshot.freeSlots() > 0 && need.fitsInto(snapshot.free());
  }

  void end(TaskId taskId, TaskEnd end, long now) {
    scheduler.taskEnded(taskId, end, now);
    live.remove(taskId);
    if (end == TaskEnd.COMPLETED) {
      resubmittable.remove(taskId.key());
    }
  }

  void expire(long now) {
    for (GivenUp givenUp : scheduler.expire(now)) {
      assertThat(waiting.remove(givenUp.item().key())).as("item is given up only once").isNotNull();
    }
  }

  void cancel(WorkKey key) {
    boolean cancelled = scheduler.cancelQueued(key);
    assertThat(cancelled).isEqualTo(waiting.remove(key) != null);
  }

  void putWorker(WorkerDescription worker, boolean open) {
    workers.put(worker.name(), worker);
    scheduler.putWorker(worker, open);
  }

  void removeWorker(String name) {
    Set<TaskId> removed =
        live.values().stream()
            .filter(task -> task.worker().equals(name))
            .map(PlacedTask::taskId)
            .collect(Collectors.toSet());
    assertThat(new HashSet<>(scheduler.removeWorker(name))).isEqualTo(removed);
    removed.forEach(live::remove);
    workers.remove(name);
  }

  void putPermits(String team, int number) {
    permits.put(team, number);
    scheduler.putPermits(team, number);
  }

  /** Forwards a usage report, unless the work-conserving check needs sizes to stay as declared. */
  void reportUsage(TaskId taskId, Resources used, long now) {
    if (workConserving) {
      return;
    }
    scheduler.reportUsage(taskId, used, now);
  }

  /** Compares the scheduler with the model and checks the invariants of each worker. */
  void check() {
    assertThat(scheduler.queued().stream().map(WorkItem::key))
        .containsExactlyInAnyOrderElementsOf(waiting.keySet());
    Map<TaskId, PlacedTask> placed = new HashMap<>();
    scheduler.placed().forEach(task -> placed.put(task.taskId(), task));
    assertThat(placed.keySet()).isEqualTo(live.keySet());
    Map<String, Integer> waitingOfTeam = new HashMap<>();
    waiting.forEach((key, tasks) -> waitingOfTeam.merge(key.team(), tasks, Integer::sum));
    permits
        .keySet()
        .forEach(
            team ->
                assertThat(scheduler.waitingTasks(team))
                    .isEqualTo(waitingOfTeam.getOrDefault(team, 0)));
    for (WorkerSnapshot snapshot : scheduler.workers()) {
      checkWorker(snapshot, placed);
    }
  }

  private void checkWorker(WorkerSnapshot snapshot, Map<TaskId, PlacedTask> placed) {
    Resources used = Resources.NONE;
    int slots = 0;
    for (PlacedTask task : placed.values()) {
      if (task.worker().equals(snapshot.worker().name())) {
        used = used.plus(task.reserved());
        slots++;
      }
    }
    Resources capacity = snapshot.worker().capacity();
    assertThat(used.fitsInto(capacity))
        .as("reserved %s is within capacity %s", used, capacity)
        .isTrue();
    assertThat(snapshot.free()).isEqualTo(capacity.minus(used));
    assertThat(snapshot.freeSlots()).isEqualTo(snapshot.worker().slots() - slots).isNotNegative();
  }

  private void checkPermits(String team) {
    long placed = live.keySet().stream().filter(id -> id.key().team().equals(team)).count();
    assertThat(placed).isLessThanOrEqualTo(permits.getOrDefault(team, 0));
  }

  private void checkTaskCount(WorkKey key) {
    long tasks = live.keySet().stream().filter(id -> id.key().equals(key)).count();
    assertThat(tasks).as("no duplicate tasks of " + key).isLessThanOrEqualTo(taskCounts.get(key));
  }
}
