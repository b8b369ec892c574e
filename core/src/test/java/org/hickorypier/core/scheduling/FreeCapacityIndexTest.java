package org.hickorypier.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.assertj.core.data.Offset;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkKey;

class FreeCapacityIndexTest {

  private static final Offset<Double> ROUNDING = Offset.offset(1e-9);
  private static final Resources CAPACITY = new Resources(16_000, 64_512, 4);

  /** Finds the best fit by an exhaustive search over all workers. */
  private static Optional<WorkerState> exhaustiveBestFit(
      List<WorkerState> workers, Resources need) {
    return workers.stream()
        .filter(worker -> worker.hasRoomFor(need))
        .min(
            Comparator.comparingInt(WorkerState::freeAccelerators)
                .thenComparingDouble(worker -> scoreAfter(worker, need)));
  }

  private static double scoreAfter(WorkerState worker, Resources need) {
    Resources left = worker.free().minus(need);
    return FreeCapacityIndex.score(
        (double) left.milliProcessors() / CAPACITY.milliProcessors(),
        (double) left.memoryMebibytes() / CAPACITY.memoryMebibytes());
  }

  /** Returns whole multiples of the index levels, so that bucketing does not change the order. */
  private static Resources amount(SplittableRandom random) {
    return new Resources(
        250L * random.nextInt(40), 1_024L * random.nextInt(40), random.nextInt(5) / 2);
  }

  /**
   * Guards against an index that returns a worse worker than an exhaustive search, or misses one.
   * Reservations and releases move workers between buckets between the lookups.
   */
  @Property(seed = "7", tries = 100)
  void bestFitMatchesExhaustiveSearch(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Fleet fleet = new Fleet();
    List<WorkerState> workers = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      workers.add(new WorkerState(SchedulerFixtures.worker(i, CAPACITY, 8), true));
      fleet.add(workers.get(i));
    }
    for (int step = 0; step < 200; step++) {
      Resources need = amount(random);
      WorkerState found = fleet.index().bestFit(need, worker -> true);
      Optional<WorkerState> expected = exhaustiveBestFit(workers, need);
      assertThat(found == null).isEqualTo(expected.isEmpty());
      if (found != null) {
        assertThat(found.freeAccelerators()).isEqualTo(expected.get().freeAccelerators());
        assertThat(scoreAfter(found, need)).isEqualTo(scoreAfter(expected.get(), need), ROUNDING);
        TaskId id = new TaskId(new WorkKey("team", "id"), 1, step);
        PlacedTask task = new PlacedTask(id, found.name(), WorkClass.BATCH, need);
        fleet.reserve(found, new Reservation(task, "", 0, 0));
      }
      WorkerState changed = workers.get(random.nextInt(workers.size()));
      new ArrayList<>(changed.reservations())
          .stream().limit(2).forEach(reservation -> fleet.release(changed, reservation));
    }
  }
}
