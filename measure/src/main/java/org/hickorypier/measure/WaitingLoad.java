package org.hickorypier.measure;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.scheduling.PlacedTask;

/**
 * Random arrivals at a multiple of the capacity, in fake time of a tenth of a millisecond, and what
 * callers see.
 *
 * <p>Tasks are small, so the slots are what is short: the capacity is known as slots over the mean
 * run time. Not thread safe.
 */
final class WaitingLoad {

  /** Ticks in a millisecond, so that waits under a millisecond can be told apart. */
  static final int TICKS_PER_MILLI = 10;

  private static final int TEAMS = 6;
  private static final long WARM_UP_MILLIS = 20_000;
  private static final double SIZE_FACTOR = 0.4;
  private static final double MEAN_TASKS = 0.7 + 0.22 * 3.5 + 0.03 * 2 + 0.05 * 3;
  private static final int SLOTS = 8;

  /** What callers saw. Waits are in ticks. */
  static final class Seen {
    final Map<WorkClass, Histogram> waits = new EnumMap<>(WorkClass.class);
    long refused;
    long offered;
    long acceptedRequests;
    long lateRequests;
    double usefulRunMillis;

    Seen() {
      for (WorkClass workClass : WorkClass.values()) {
        waits.put(workClass, new Histogram(3));
      }
    }
  }

  private record End(double atMillis, TaskId taskId) {}

  private final Decider decider;
  private final WorkMix mix;
  private final double meanGapMillis;
  private final double endMillis;
  private final PriorityQueue<End> ends =
      new PriorityQueue<>(Comparator.comparingDouble(End::atMillis));
  private final Map<WorkKey, WorkItem> items = new HashMap<>();
  private final Map<WorkKey, Double> arrivals = new HashMap<>();
  private final Seen seen = new Seen();
  private final double slots;

  WaitingLoad(int workers, double load, long seconds, long seed, boolean plain) {
    mix = new WorkMix(seed, TEAMS, SIZE_FACTOR);
    decider =
        plain
            ? new PlainDecider(WorkMix.workers(workers))
            : new SchedulerDecider(WorkMix.workers(workers), TEAMS, seed);
    slots = (double) workers * SLOTS;
    meanGapMillis = WorkMix.MEAN_RUN_MILLIS * MEAN_TASKS / slots / load;
    endMillis = WARM_UP_MILLIS + seconds * 1_000.0;
  }

  Seen run() {
    double nextArrival = 0;
    long nextExpiry = 0;
    double now = 0;
    while (now < endMillis) {
      if (!ends.isEmpty() && ends.peek().atMillis() <= nextArrival) {
        End end = ends.poll();
        now = end.atMillis();
        decider.ended(end.taskId(), (long) now);
      } else {
        now = nextArrival;
        offer(now);
        nextArrival = now + mix.exponential(meanGapMillis);
      }
      if (now >= nextExpiry) {
        long late = decider.expire((long) now);
        seen.lateRequests += now > WARM_UP_MILLIS ? late : 0;
        nextExpiry = (long) now + 50;
      }
      start(now);
    }
    return seen;
  }

  /** Returns the part of the capacity that ran work which had started before its deadline. */
  double goodput() {
    return seen.usefulRunMillis / (slots * (endMillis - WARM_UP_MILLIS));
  }

  private void offer(double now) {
    WorkItem item = mix.next((long) now);
    boolean accepted = decider.submit(item, (long) now);
    if (now > WARM_UP_MILLIS) {
      seen.offered++;
      seen.refused += accepted ? 0 : 1;
      seen.acceptedRequests += accepted && item.workClass().isSynchronous() ? 1 : 0;
    }
    if (accepted) {
      items.put(item.key(), item);
      arrivals.put(item.key(), now);
    }
  }

  private void start(double now) {
    for (PlacedTask task : decider.place((long) now)) {
      double run = mix.exponential(WorkMix.MEAN_RUN_MILLIS);
      ends.add(new End(now + run, task.taskId()));
      WorkItem item = items.get(task.taskId().key());
      double wait = now - arrivals.get(item.key());
      boolean late = item.submittedMillis() + wait > item.deadlineMillis() + 1;
      if (now > WARM_UP_MILLIS) {
        if (task.taskId().index() == 0) {
          seen.waits.get(item.workClass()).recordValue(Math.round(wait * TICKS_PER_MILLI));
          seen.lateRequests += late ? 1 : 0;
        }
        double before = Math.min(run, endMillis - now);
        seen.usefulRunMillis += late ? 0 : before;
      }
    }
  }
}
