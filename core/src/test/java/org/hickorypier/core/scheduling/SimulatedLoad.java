package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ToLongFunction;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkItem;

/**
 * Runs placed tasks in simulated time, in steps of ten milliseconds, and counts the outcomes that
 * callers see. Not thread-safe.
 */
final class SimulatedLoad {

  private static final long STEP_MILLIS = 10;

  private record Running(TaskId taskId, long endMillis, TaskEnd end) {}

  private final Scheduler scheduler;
  private final ToLongFunction<PlacedTask> runMillis;
  private final PriorityQueue<Running> running =
      new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
  private final List<Refusal> refusals = new ArrayList<>();
  private final Map<String, Long> refusedOfTeam = new HashMap<>();
  private final Map<String, Long> givenUpOfTeam = new HashMap<>();
  private final Map<String, Long> startedOfTeam = new HashMap<>();
  private long completed;
  private long failed;
  private long now;

  /**
   * Creates a simulated load.
   *
   * @param scheduler the scheduler under test
   * @param runMillis the run time of a task; negative if the task fails at once
   */
  SimulatedLoad(Scheduler scheduler, ToLongFunction<PlacedTask> runMillis) {
    this.scheduler = scheduler;
    this.runMillis = runMillis;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  long now() {
    return now;
  }

  void submit(WorkItem item) {
    scheduler
        .submit(item, now)
        .ifPresent(
            refusal -> {
              refusals.add(refusal);
              refusedOfTeam.merge(item.key().team(), 1L, Long::sum);
            });
    placeTasks();
  }

  void submit(WorkItem item, boolean mustBeAccepted) {
    int before = refusals.size();
    submit(item);
    if (mustBeAccepted && refusals.size() > before) {
      throw new AssertionError("unexpected refusal: " + refusals.get(before));
    }
  }

  void run(long millis) {
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      while (!running.isEmpty() && running.peek().endMillis() <= now) {
        Running ended = running.poll();
        scheduler.taskEnded(ended.taskId(), ended.end(), now);
        completed += ended.end() == TaskEnd.COMPLETED ? 1 : 0;
        failed += ended.end() == TaskEnd.FAILED ? 1 : 0;
        placeTasks();
      }
      scheduler
          .expire(now)
          .forEach(givenUp -> givenUpOfTeam.merge(givenUp.item().key().team(), 1L, Long::sum));
      placeTasks();
    }
  }

  List<Refusal> refusals() {
    return refusals;
  }

  long refused(String team) {
    return refusedOfTeam.getOrDefault(team, 0L);
  }

  long givenUp(String team) {
    return givenUpOfTeam.getOrDefault(team, 0L);
  }

  long started(String team) {
    return startedOfTeam.getOrDefault(team, 0L);
  }

  long completed() {
    return completed;
  }

  long failed() {
    return failed;
  }

  private void placeTasks() {
    for (Placement placement : scheduler.place(now)) {
      for (PlacedTask task : placement.tasks()) {
        long millis = runMillis.applyAsLong(task);
        TaskEnd end = millis < 0 ? TaskEnd.FAILED : TaskEnd.COMPLETED;
        running.add(new Running(task.taskId(), now + Math.max(0, millis), end));
        startedOfTeam.merge(task.taskId().key().team(), 1L, Long::sum);
      }
    }
  }
}
