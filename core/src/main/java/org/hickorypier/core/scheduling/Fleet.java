package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/**
 * The workers of an instance, by name, by free resources, by data centre and rack, and by position
 * for random choice.
 *
 * <p>Invariants: the index holds exactly the workers that accept new tasks and have a free slot;
 * the total is the sum over all capacities. Confined to the control thread.
 */
final class Fleet {

  private final Map<String, WorkerState> workers = new LinkedHashMap<>();
  private final Map<String, DataCentre> dataCentres = new TreeMap<>();
  private final Map<String, Integer> positions = new HashMap<>();
  private final List<WorkerState> workerList = new ArrayList<>();
  private final FreeCapacityIndex index = new FreeCapacityIndex(FreeCapacityIndex.Scope.FLEET);
  private Resources total = Resources.NONE;
  private int totalSlots;

  FreeCapacityIndex index() {
    return index;
  }

  int totalSlots() {
    return totalSlots;
  }

  Resources total() {
    return total;
  }

  Collection<WorkerState> workers() {
    return workers.values();
  }

  WorkerState worker(String name) {
    return workers.get(name);
  }

  Collection<DataCentre> dataCentres() {
    return dataCentres.values();
  }

  int size() {
    return workerList.size();
  }

  WorkerState at(int position) {
    return workerList.get(position);
  }

  void add(WorkerState worker) {
    workers.put(worker.name(), worker);
    positions.put(worker.name(), workerList.size());
    workerList.add(worker);
    dataCentre(worker).add(worker);
    worker.reservations().forEach(reservation -> countService(worker, reservation.task(), true));
    total = total.plus(worker.description().capacity());
    totalSlots += worker.description().slots();
    fitIndexLevels(worker);
    reindex(worker);
  }

  void remove(WorkerState worker) {
    workers.remove(worker.name());
    int position = positions.remove(worker.name());
    WorkerState last = workerList.remove(workerList.size() - 1);
    if (last != worker) {
      workerList.set(position, last);
      positions.put(last.name(), position);
    }
    index.remove(worker);
    DataCentre dataCentre = dataCentre(worker);
    dataCentre.index().remove(worker);
    worker.reservations().forEach(reservation -> countService(worker, reservation.task(), false));
    dataCentre.remove(worker);
    if (dataCentre.racks().isEmpty()) {
      dataCentres.remove(worker.description().dataCentre());
    }
    total = total.minus(worker.description().capacity());
    totalSlots -= worker.description().slots();
  }

  void reserve(WorkerState worker, Reservation reservation) {
    worker.add(reservation);
    countService(worker, reservation.task(), true);
    reindex(worker);
  }

  void release(WorkerState worker, Reservation reservation) {
    worker.remove(reservation);
    countService(worker, reservation.task(), false);
    reindex(worker);
  }

  void reindex(WorkerState worker) {
    reindex(worker, index);
    reindex(worker, dataCentre(worker).index());
  }

  private static void reindex(WorkerState worker, FreeCapacityIndex target) {
    target.remove(worker);
    if (worker.acceptsTasks()) {
      target.add(worker);
    }
  }

  private void fitIndexLevels(WorkerState worker) {
    final Resources capacity = worker.description().capacity();
    final DataCentre dataCentre = dataCentre(worker);
    if (index.needsWiderLevels(capacity)) {
      workers.values().forEach(index::remove);
      index.widenLevels(capacity);
      workers.values().forEach(other -> reindex(other, index));
    }
    if (dataCentre.index().needsWiderLevels(capacity)) {
      dataCentre.forEachWorker(dataCentre.index()::remove);
      dataCentre.index().widenLevels(capacity);
      dataCentre.forEachWorker(other -> reindex(other, dataCentre.index()));
    }
    index.includeCapacity(capacity);
    dataCentre.index().includeCapacity(capacity);
  }

  private void countService(WorkerState worker, PlacedTask task, boolean added) {
    if (task.workClass() != WorkClass.SERVICE) {
      return;
    }
    DataCentre dataCentre = dataCentre(worker);
    Rack rack = dataCentre.rack(worker.description().rack());
    if (added) {
      dataCentre.services().add(task.taskId().key());
      rack.services().add(task.taskId().key());
    } else {
      dataCentre.services().remove(task.taskId().key());
      rack.services().remove(task.taskId().key());
    }
  }

  private DataCentre dataCentre(WorkerState worker) {
    return dataCentres.computeIfAbsent(
        worker.description().dataCentre(), unused -> new DataCentre());
  }
}
