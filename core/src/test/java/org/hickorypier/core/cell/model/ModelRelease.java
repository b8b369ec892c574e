package org.hickorypier.core.cell.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Planned work: the workers are replaced one after the other, and the owner is handed over in
 * spells.
 */
final class ModelRelease {

  private static final long BEGIN = 4_000;

  /** No handover is under way any more when the faults end. */
  private static final long END = 24_000;

  private static final int SPELLS = 2;
  private static final long SPELL_MILLIS = (END - BEGIN) / SPELLS;

  private final ModelWorld world;
  private final ModelTime time;
  private final Deque<ModelWorker> toReplace = new ArrayDeque<>();

  ModelRelease(ModelWorld world) {
    this.world = world;
    this.time = world.time;
    this.toReplace.addAll(world.workers);
  }

  void plan() {
    time.after(time.between(BEGIN, 2 * BEGIN), this::replaceNext);
    for (int spell = 0; spell < SPELLS; spell++) {
      long from = BEGIN + spell * SPELL_MILLIS + time.between(0, SPELL_MILLIS / 2);
      long until = Math.min(BEGIN + (spell + 1) * SPELL_MILLIS, from + time.between(4_000, 9_000));
      time.after(from, () -> handOverUntil(until));
    }
  }

  private void replaceNext() {
    if (time.now() >= END) {
      return;
    }
    ModelWorker next = toReplace.remove();
    long left = time.between(5_500, 6_500);
    next.drain(left);
    world.notes.add(time.now() + " planned end of " + next.id + " in " + left);
    time.after(left, () -> replace(next));
    time.after(time.between(1_500, 3_000), this::replaceNext);
  }

  private void replace(ModelWorker worker) {
    world.notes.add(time.now() + " planned end of " + worker.id + " now");
    worker.leave();
    world.workers.remove(worker);
    time.after(time.between(0, 1_500), () -> toReplace.add(world.addWorker()));
  }

  private void handOverUntil(long end) {
    if (time.now() < end) {
      world.handOver();
      time.after(time.between(2_000, 4_000), () -> handOverUntil(end));
    }
  }
}
