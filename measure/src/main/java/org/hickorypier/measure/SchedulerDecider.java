package org.hickorypier.measure;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.Placement;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.core.scheduling.SchedulerFactory;
import org.hickorypier.core.scheduling.SchedulerSettings;
import org.hickorypier.core.scheduling.TaskEnd;

/**
 * The scheduler with its default settings.
 *
 * <p>Not thread safe.
 */
final class SchedulerDecider implements Decider {

  private static final int AMPLE_PERMITS = 1_000_000;

  private final Scheduler scheduler;

  SchedulerDecider(List<WorkerDescription> workers, int teams, long seed) {
    scheduler = SchedulerFactory.create(SchedulerSettings.defaults(), seed);
    workers.forEach(worker -> scheduler.putWorker(worker, true));
    for (int i = 0; i < teams; i++) {
      scheduler.putPermits(WorkMix.team(i), AMPLE_PERMITS);
    }
  }

  Scheduler scheduler() {
    return scheduler;
  }

  @Override
  public boolean submit(WorkItem item, long now) {
    return scheduler.submit(item, now).isEmpty();
  }

  @Override
  public List<PlacedTask> place(long now) {
    List<Placement> placements = scheduler.place(now);
    if (placements.size() == 1) {
      return placements.get(0).tasks();
    }
    List<PlacedTask> tasks = new ArrayList<>();
    placements.forEach(placement -> tasks.addAll(placement.tasks()));
    return tasks;
  }

  @Override
  public void ended(TaskId taskId, long now) {
    scheduler.taskEnded(taskId, TaskEnd.COMPLETED, now);
  }

  @Override
  public int expire(long now) {
    return scheduler.expire(now).stream().mapToInt(givenUp -> givenUp.item().tasks()).sum();
  }
}
