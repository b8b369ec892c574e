package org.hickorypier.core.scheduling;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The racks of a data centre, an index of its workers by free resources, and its service counts.
 *
 * <p>Confined to the control thread.
 */
final class DataCentre {

  private final Map<String, Rack> racks = new TreeMap<>();
  private final ServiceCounts services = new ServiceCounts();
  private final FreeCapacityIndex index =
      new FreeCapacityIndex(FreeCapacityIndex.Scope.DATA_CENTRE);

  Collection<Rack> racks() {
    return racks.values();
  }

  Rack rack(String name) {
    return racks.computeIfAbsent(name, unused -> new Rack());
  }

  ServiceCounts services() {
    return services;
  }

  FreeCapacityIndex index() {
    return index;
  }

  void forEachWorker(Consumer<WorkerState> action) {
    racks.values().forEach(rack -> rack.workers().forEach(action));
  }

  void add(WorkerState worker) {
    rack(worker.description().rack()).workers().add(worker);
  }

  void remove(WorkerState worker) {
    String name = worker.description().rack();
    Rack rack = racks.get(name);
    rack.workers().remove(worker);
    if (rack.workers().isEmpty()) {
      racks.remove(name);
    }
  }
}
