package org.hickorypier.measure;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.scheduling.PlacedTask;

/**
 * A full fleet in which each decision ends a task and starts another.
 *
 * <p>Sizes are such that four tasks fill a worker, as 17,000 do 4,200 workers; 62 teams keep a
 * backlog. Fake time goes on by one millisecond for each two decisions. Not thread safe.
 */
final class DecisionLoad {

  private static final int TEAMS = 62;
  private static final int BACKLOG_PER_TEAM = 8;
  private static final int DECISIONS_PER_MILLI = 2;
  private static final int MOST_TRIES = 64;
  private static final int EXPIRE_EVERY = 100;
  private static final double SIZE_FACTOR = 2.35;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * What was timed: each decision in nanoseconds, all of them, and the tasks running at the end.
   */
  record Timing(Histogram nanos, double perSecond, int running) {}

  private final Decider decider;
  private final WorkMix mix;
  private final List<TaskId> running = new ArrayList<>();
  private long waitingTasks;

  DecisionLoad(int workers, long seed, boolean plain) {
    mix = new WorkMix(seed, TEAMS, SIZE_FACTOR);
    decider =
        plain
            ? new PlainDecider(WorkMix.workers(workers))
            : new SchedulerDecider(WorkMix.workers(workers), TEAMS, seed);
    fill();
  }

  Timing run(int decisions) {
    Histogram histogram = new Histogram(3);
    long total = 0;
    long started = 0;
    for (int i = 0; started < decisions; i++) {
      long now = 1 + i / DECISIONS_PER_MILLI;
      TaskId ended = takeOne();
      long start = System.nanoTime();
      decider.ended(ended, now);
      List<PlacedTask> placed = decider.place(now);
      if (i % EXPIRE_EVERY == 0) {
        waitingTasks -= decider.expire(now);
      }
      long nanos = System.nanoTime() - start;
      placed.forEach(task -> running.add(task.taskId()));
      waitingTasks -= placed.size();
      nanos += refill(now);
      total += nanos;
      started += placed.size();
      for (int n = 0; n < placed.size(); n++) {
        histogram.recordValue(nanos / placed.size());
      }
      if (placed.isEmpty()) {
        histogram.recordValue(nanos);
      }
    }
    return new Timing(histogram, started / (total / NANOS_PER_SECOND), running.size());
  }

  private void fill() {
    List<PlacedTask> placed;
    do {
      refill(0);
      placed = decider.place(0);
      placed.forEach(task -> running.add(task.taskId()));
      waitingTasks -= placed.size();
    } while (!placed.isEmpty());
  }

  private long refill(long now) {
    long nanos = 0;
    int tries = 0;
    while (waitingTasks < TEAMS * BACKLOG_PER_TEAM && tries++ < MOST_TRIES) {
      WorkItem item = mix.next(now);
      long start = System.nanoTime();
      boolean accepted = decider.submit(item, now);
      nanos += System.nanoTime() - start;
      waitingTasks += accepted ? item.tasks() : 0;
    }
    return nanos;
  }

  private TaskId takeOne() {
    int place = mix.below(running.size());
    TaskId taken = running.get(place);
    running.set(place, running.get(running.size() - 1));
    running.remove(running.size() - 1);
    return taken;
  }
}
