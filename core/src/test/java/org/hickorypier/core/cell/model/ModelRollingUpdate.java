package org.hickorypier.core.cell.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A rolling update: the workers are replaced one after the other, and ownership is handed over
 * repeatedly in several periods.
 */
final class ModelRollingUpdate {

  private static final long BEGIN_MILLIS = 4_000;

  /** The last handover completes before the faults end. */
  private static final long END_MILLIS = 24_000;

  private static final int HANDOVER_PERIODS = 2;
  private static final long HANDOVER_PERIOD_MILLIS = (END_MILLIS - BEGIN_MILLIS) / HANDOVER_PERIODS;

  private final ModelCluster cluster;
  private final VirtualTime time;
  private final Deque<ModelWorker> toReplace = new ArrayDeque<>();

  ModelRollingUpdate(ModelCluster cluster) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.toReplace.addAll(cluster.workers);
  }

  void schedule() {
    time.schedule(time.randomBetween(BEGIN_MILLIS, 2 * BEGIN_MILLIS), this::replaceNext);
    for (int period = 0; period < HANDOVER_PERIODS; period++) {
      long from =
          BEGIN_MILLIS
              + period * HANDOVER_PERIOD_MILLIS
              + time.randomBetween(0, HANDOVER_PERIOD_MILLIS / 2);
      long until =
          Math.min(
              BEGIN_MILLIS + (period + 1) * HANDOVER_PERIOD_MILLIS,
              from + time.randomBetween(4_000, 9_000));
      time.schedule(from, () -> repeatHandoverUntil(until));
    }
  }

  private void replaceNext() {
    if (time.nowMillis() >= END_MILLIS) {
      return;
    }
    ModelWorker next = toReplace.remove();
    long remainingMillis = time.randomBetween(5_500, 6_500);
    next.drain(remainingMillis);
    cluster.notes.add(time.nowMillis() + " planned end of " + next.id + " in " + remainingMillis);
    time.schedule(remainingMillis, () -> replace(next));
    time.schedule(time.randomBetween(1_500, 3_000), this::replaceNext);
  }

  private void replace(ModelWorker worker) {
    cluster.notes.add(time.nowMillis() + " planned end of " + worker.id + " now");
    worker.leave();
    cluster.workers.remove(worker);
    time.schedule(time.randomBetween(0, 1_500), () -> toReplace.add(cluster.addWorker()));
  }

  private void repeatHandoverUntil(long end) {
    if (time.nowMillis() < end) {
      cluster.handOver();
      time.schedule(time.randomBetween(2_000, 4_000), () -> repeatHandoverUntil(end));
    }
  }
}
