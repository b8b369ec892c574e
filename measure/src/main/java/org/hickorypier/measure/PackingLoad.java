package org.hickorypier.measure;

import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkerDescription;

/**
 * Offers tasks one by one until the first cannot be placed.
 *
 * <p>Not thread safe.
 */
final class PackingLoad {

  private static final long FAR_MILLIS = 1_000_000_000;
  private static final int AMPLE_SLOTS = 64;
  private static final double SIZE_FACTOR = 1.0;

  /** The used share of the dominant resource, and the share that divisible tasks would reach. */
  record Packed(double used, double bound) {}

  private final int workers;
  private final long seed;

  PackingLoad(int workers, long seed) {
    this.workers = workers;
    this.seed = seed;
  }

  Packed run(boolean plain) {
    List<WorkerDescription> fleet = roomy(WorkMix.workers(workers));
    Decider decider = plain ? new PlainDecider(fleet) : new SchedulerDecider(fleet, 1, seed);
    WorkMix mix = new WorkMix(seed, 1, SIZE_FACTOR);
    Resources total = Resources.NONE;
    for (WorkerDescription worker : fleet) {
      total = total.plus(worker.capacity());
    }
    Resources used = Resources.NONE;
    Resources offered = Resources.NONE;
    double placedShare = -1;
    while (offered.fitsInto(total)) {
      WorkItem item = mix.item(WorkClass.BATCH, 1, 0, FAR_MILLIS);
      offered = offered.plus(item.resources());
      if (placedShare < 0) {
        decider.submit(item, 0);
        if (decider.place(0).isEmpty()) {
          placedShare = used.dominantShare(total);
        } else {
          used = used.plus(item.resources());
        }
      }
    }
    return new Packed(placedShare, Math.min(1, offered.dominantShare(total)));
  }

  /** Gives each worker ample slots, so that the resources are what runs out. */
  private static List<WorkerDescription> roomy(List<WorkerDescription> workers) {
    return workers.stream()
        .map(
            worker ->
                new WorkerDescription(
                    worker.name(),
                    worker.dataCentre(),
                    worker.rack(),
                    worker.capacity(),
                    AMPLE_SLOTS))
        .toList();
  }
}
