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

/** Keeps a plain account beside a scheduler and compares both. Not thread safe. */
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
    boolean before = waiting.containsKey(item.key());
    long alive = live.keySet().stream().filter(id -> id.key().equals(item.key())).count();
    if (scheduler.submit(item, now).isPresent() || before) {
      return;
    }
    boolean queued = scheduler.queued().stream().anyMatch(q -> q.key().equals(item.key()));
    assertThat(queued || alive > 0).as("queued or joined to what runs").isTrue();
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
        assertThat(everPlaced.add(task.taskId())).as("placed once: " + task).isTrue();
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

  /** No queue head that may start waits beside an open worker that has the room. */
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
            .as("room left idle for " + item)
            .noneMatch(room -> hasRoomFor(room, item.resources()));
      }
    }
  }

  private boolean hasRoomFor(WorkerSnapshot room, Resources need) {
    boolean idle = room.freeSlots() == room.worker().slots();
    boolean admits = room.state().equals("open") || room.state().equals("probing") && idle;
    return admits && room.freeSlots() > 0 && need.fitsInto(room.free());
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
      assertThat(waiting.remove(givenUp.item().key())).as("given up once").isNotNull();
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
    Set<TaskId> gone =
        live.values().stream()
            .filter(task -> task.worker().equals(name))
            .map(PlacedTask::taskId)
            .collect(Collectors.toSet());
    assertThat(new HashSet<>(scheduler.removeWorker(name))).isEqualTo(gone);
    gone.forEach(live::remove);
    workers.remove(name);
  }

  void putPermits(String team, int number) {
    permits.put(team, number);
    scheduler.putPermits(team, number);
  }

  /** Passes a report on, unless sizes must stay as declared for the check of idle room. */
  void reportUsage(TaskId taskId, Resources used, long now) {
    if (workConserving) {
      return;
    }
    scheduler.reportUsage(taskId, used, now);
  }

  /** Compares the scheduler with the account and checks what must hold on each worker. */
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
    for (WorkerSnapshot room : scheduler.workers()) {
      checkWorker(room, placed);
    }
  }

  private void checkWorker(WorkerSnapshot room, Map<TaskId, PlacedTask> placed) {
    Resources used = Resources.NONE;
    int slots = 0;
    for (PlacedTask task : placed.values()) {
      if (task.worker().equals(room.worker().name())) {
        used = used.plus(task.reserved());
        slots++;
      }
    }
    Resources capacity = room.worker().capacity();
    assertThat(used.fitsInto(capacity)).as("%s within %s", used, capacity).isTrue();
    assertThat(room.free()).isEqualTo(capacity.minus(used));
    assertThat(room.freeSlots()).isEqualTo(room.worker().slots() - slots).isNotNegative();
  }

  private void checkPermits(String team) {
    long placed = live.keySet().stream().filter(id -> id.key().team().equals(team)).count();
    assertThat(placed).isLessThanOrEqualTo(permits.getOrDefault(team, 0));
  }

  private void checkTaskCount(WorkKey key) {
    long tasks = live.keySet().stream().filter(id -> id.key().equals(key)).count();
    assertThat(tasks).as("no doubles of " + key).isLessThanOrEqualTo(taskCounts.get(key));
  }
}
