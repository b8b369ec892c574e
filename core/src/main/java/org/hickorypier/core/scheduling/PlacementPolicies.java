package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkKey;

/**
 * The placement policies, one for each class of work.
 *
 * <p>Confined to the control thread.
 */
final class PlacementPolicies {

  private static final int SAMPLED_WORKERS = 2;

  private final Fleet fleet;
  private final RandomGenerator random;

  PlacementPolicies(Fleet fleet, RandomGenerator random) {
    this.fleet = fleet;
    this.random = random;
  }

  PlacementPolicy of(WorkClass workClass) {
    return switch (workClass) {
      case URGENT, REQUEST -> this::lessLoadedOfTwo;
      case SERVICE -> this::spread;
      case GANG, BATCH -> this::bestFit;
    };
  }

  /**
   * Chooses the worker that the task leaves with the least and best balanced free resources. This
   * suits long queues of dissimilar tasks: large gaps stay whole for large tasks, which scattered
   * small ones would otherwise keep out, and neither processors nor memory are exhausted alone.
   */
  private WorkerState bestFit(QueuedItem queued, WorkerFilter allowed) {
    return fleet.index().bestFit(queued.need(), allowed);
  }

  /**
   * Chooses the less loaded of two random workers (power of two choices). This suits short requests
   * at a high rate: it balances load nearly as well as choosing the least loaded worker, without
   * herding onto a worker that has just become idle. If neither can take the task, the index finds
   * any free resources, so random choice never misses a worker that fits.
   */
  private WorkerState lessLoadedOfTwo(QueuedItem queued, WorkerFilter allowed) {
    WorkerState best = null;
    for (int i = 0; i < SAMPLED_WORKERS && fleet.size() > 0; i++) {
      WorkerState worker = fleet.at(random.nextInt(fleet.size()));
      if (worker.acceptsTasks()
          && worker.hasRoomFor(queued.need())
          && allowed.test(worker)
          && (best == null || worker.load() < best.load())) {
        best = worker;
      }
    }
    return best == null ? bestFit(queued, allowed) : best;
  }

  /**
   * Chooses a worker in the data centre, and within it the rack, with the fewest tasks of the same
   * service, so that services survive the loss of a rack or a data centre. The racks of a data
   * centre are searched only if its index finds a worker that fits.
   */
  private WorkerState spread(QueuedItem queued, WorkerFilter allowed) {
    WorkKey key = queued.item().key();
    List<DataCentre> dataCentres = new ArrayList<>(fleet.dataCentres());
    dataCentres.sort(Comparator.comparingInt(dataCentre -> dataCentre.services().taskCount(key)));
    for (DataCentre dataCentre : dataCentres) {
      if (dataCentre.index().bestFit(queued.need(), allowed) == null) {
        continue;
      }
      List<Rack> racks = new ArrayList<>(dataCentre.racks());
      racks.sort(Comparator.comparingInt(rack -> rack.services().taskCount(key)));
      for (Rack rack : racks) {
        WorkerState found = leastLoaded(rack.workers(), queued.need(), allowed);
        if (found != null) {
          return found;
        }
      }
    }
    return null;
  }

  private static WorkerState leastLoaded(
      List<WorkerState> rack, Resources need, WorkerFilter allowed) {
    WorkerState best = null;
    for (WorkerState worker : rack) {
      if (worker.acceptsTasks()
          && worker.hasRoomFor(need)
          && allowed.test(worker)
          && (best == null || worker.load() < best.load())) {
        best = worker;
      }
    }
    return best;
  }
}
