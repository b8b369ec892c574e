package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hickorypier.core.model.Resources;

/**
 * The workers, found by name, by room, by place and at random.
 *
 * <p>Invariants: the index holds exactly the workers that take new tasks and have a free slot; the
 * total is the sum over all capacities. Not thread safe.
 */
final class Fleet {

  private final Map<String, WorkerState> workers = new LinkedHashMap<>();
  private final Map<String, Map<String, List<WorkerState>>> places = new TreeMap<>();
  private final Map<String, Integer> randomPlace = new HashMap<>();
  private final List<WorkerState> forRandomChoice = new ArrayList<>();
  private final RoomIndex index = new RoomIndex();
  private Resources total = Resources.NONE;

  RoomIndex index() {
    return index;
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

  /** Returns the workers of each rack of each data centre. */
  Map<String, Map<String, List<WorkerState>>> places() {
    return places;
  }

  int size() {
    return forRandomChoice.size();
  }

  WorkerState at(int place) {
    return forRandomChoice.get(place);
  }

  void add(WorkerState worker) {
    workers.put(worker.name(), worker);
    randomPlace.put(worker.name(), forRandomChoice.size());
    forRandomChoice.add(worker);
    rack(worker).add(worker);
    total = total.plus(worker.description().capacity());
    fitLevels(worker);
    reindex(worker);
  }

  void remove(WorkerState worker) {
    workers.remove(worker.name());
    int place = randomPlace.remove(worker.name());
    WorkerState last = forRandomChoice.remove(forRandomChoice.size() - 1);
    if (last != worker) {
      forRandomChoice.set(place, last);
      randomPlace.put(last.name(), place);
    }
    List<WorkerState> rack = rack(worker);
    rack.remove(worker);
    if (rack.isEmpty()) {
      places.get(worker.description().dataCentre()).remove(worker.description().rack());
    }
    total = total.minus(worker.description().capacity());
    index.remove(worker);
  }

  void reserve(WorkerState worker, Reservation reservation) {
    worker.add(reservation);
    reindex(worker);
  }

  void release(WorkerState worker, Reservation reservation) {
    worker.remove(reservation);
    reindex(worker);
  }

  void reindex(WorkerState worker) {
    index.remove(worker);
    if (worker.takesTasks()) {
      index.add(worker);
    }
  }

  private void fitLevels(WorkerState worker) {
    Resources capacity = worker.description().capacity();
    if (index.needsWiderLevels(capacity)) {
      workers.values().forEach(index::remove);
      index.widenLevels(capacity);
      workers.values().forEach(this::reindex);
    }
  }

  private List<WorkerState> rack(WorkerState worker) {
    return places
        .computeIfAbsent(worker.description().dataCentre(), unused -> new TreeMap<>())
        .computeIfAbsent(worker.description().rack(), unused -> new ArrayList<>());
  }
}
