package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkKey;

/**
 * The ways to choose a worker, one for each class of work.
 *
 * <p>Not thread safe.
 */
final class PlacementPolicies {

  private static final int CHOICES = 2;

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
   * Chooses the worker that the task leaves with the least and best balanced room. Made for long
   * queues of unlike tasks: large gaps stay whole for large tasks, which scattered small ones would
   * otherwise keep out, and neither processors nor memory are used up alone.
   */
  private WorkerState bestFit(QueuedItem queued, WorkerFilter allowed) {
    return fleet.index().bestFit(queued.need(), allowed);
  }

  /**
   * Chooses the less loaded of two workers taken at random. Made for short requests at a high rate:
   * it levels the load nearly as well as the least loaded of all, without the herding onto a worker
   * that has just become idle. When both are full, the index finds any gap there is, so room is
   * never missed by bad luck.
   */
  private WorkerState lessLoadedOfTwo(QueuedItem queued, WorkerFilter allowed) {
    WorkerState best = null;
    for (int i = 0; i < CHOICES && fleet.size() > 0; i++) {
      WorkerState worker = fleet.at(random.nextInt(fleet.size()));
      if (worker.takesTasks()
          && worker.hasRoomFor(queued.need())
          && allowed.test(worker)
          && (best == null || worker.load() < best.load())) {
        best = worker;
      }
    }
    return best == null ? bestFit(queued, allowed) : best;
  }

  /**
   * Chooses a worker in the data centre, and in it the rack, with the fewest tasks of the same
   * service. Made for services that must outlive the loss of a rack or a data centre. The index of
   * a data centre tells whether it has room at all; only then are its racks gone through.
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
      if (worker.takesTasks()
          && worker.hasRoomFor(need)
          && allowed.test(worker)
          && (best == null || worker.load() < best.load())) {
        best = worker;
      }
    }
    return best;
  }
}
