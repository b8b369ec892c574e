package org.hickorypier.core.cell.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Planned work: the workers are replaced one after the other, and the owner is handed over in
 * spells.
 */
final class ModelRollingUpdate {

  private static final long BEGIN_MILLIS = 4_000;

  /** No handover is under way any more when the faults end. */
  private static final long END_MILLIS = 24_000;

  private static final int HANDOVER_PERIODS = 2;
  private static final long HANDOVER_PERIOD_MILLIS = (END_MILLIS - BEGIN_MILLIS) / HANDOVER_PERIODS;

  private final ModelCluster cluster;
  private final VirtualTime time;
  private final Deque<ModelWorker> toReplace = new ArrayDeque<>();

  ModelRollingUpdate(ModelCluster world) {
    this.cluster = world;
    this.time = world.time;
    this.toReplace.addAll(world.workers);
  }

  void schedule() {
    time.schedule(time.randomBetween(BEGIN_MILLIS, 2 * BEGIN_MILLIS), this::replaceNext);
    for (int spell = 0; spell < HANDOVER_PERIODS; spell++) {
      long from =
          BEGIN_MILLIS
              + spell * HANDOVER_PERIOD_MILLIS
              + time.randomBetween(0, HANDOVER_PERIOD_MILLIS / 2);
      long until =
          Math.min(
              BEGIN_MILLIS + (spell + 1) * HANDOVER_PERIOD_MILLIS,
              from + time.randomBetween(4_000, 9_000));
      time.schedule(from, () -> repeatHandoverUntil(until));
    }
  }

  private void replaceNext() {
    if (time.nowMillis() >= END_MILLIS) {
      return;
    }
    ModelWorker next = toReplace.remove();
    long left = time.randomBetween(5_500, 6_500);
    next.drain(left);
    cluster.notes.add(time.nowMillis() + " planned end of " + next.id + " in " + left);
    time.schedule(left, () -> replace(next));
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
