package org.hickorypier.core.preemption;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * The runs selected so far for one plan. Not thread-safe; lives for one call of the planner.
 *
 * <p>The selection is greedy: each round stops the runs that give one more task room at the least
 * loss. Runs that turn out not to be needed are dropped again.
 */
final class StopSelection {

  /** Least loss for each core first; the id makes the order independent of the input's. */
  private static final Comparator<PreemptionCandidate> LEAST_LOSS =
      Comparator.comparingLong(PreemptionCandidate::unsavedMillis)
          .thenComparing(PreemptionCandidate::run);

  private final PreemptionRequest request;
  private final List<PreemptionCandidate> candidates;
  private final Map<String, WorkerState> workers = new LinkedHashMap<>();

  /** Runs that make no room for tasks, but spare the reserve or the customer's limit. */
  private final List<PreemptionCandidate> stoppedForBounds = new ArrayList<>();

  /** A worker with the runs that stay and those that are to be stopped. */
  private static final class WorkerState {
    private final WorkerRoom room;
    private final List<PreemptionCandidate> running = new ArrayList<>();
    private final List<PreemptionCandidate> stopped = new ArrayList<>();
    private List<PreemptionCandidate> next;

    private WorkerState(WorkerRoom room) {
      this.room = room;
    }
  }

  StopSelection(PreemptionRequest request, List<PreemptionCandidate> candidates) {
    this.request = request;
    this.candidates = candidates.stream().sorted(LEAST_LOSS).toList();
    for (WorkerRoom room : request.workers()) {
      workers.put(room.worker(), new WorkerState(room));
    }
    for (PreemptionCandidate run : this.candidates) {
      WorkerState worker = workers.get(run.worker());
      if (worker != null) {
        worker.running.add(run);
      }
    }
  }

  /** Selects runs until all tasks fit; returns false if they cannot. */
  boolean makeRoomForTasks() {
    int slots = workers.values().stream().mapToInt(worker -> slots(worker, worker.stopped)).sum();
    while (slots < request.taskCount()) {
      WorkerState best = null;
      double leastLoss = Double.MAX_VALUE;
      for (WorkerState worker : workers.values()) {
        if (worker.next == null) {
          worker.next = nextStops(worker);
        }
        double loss = lossPerSlot(worker);
        if (loss < leastLoss) {
          leastLoss = loss;
          best = worker;
        }
      }
      if (best == null) {
        return false;
      }
      slots += gain(best);
      best.stopped.addAll(best.next);
      best.running.removeAll(best.next);
      best.next = null;
    }
    dropUnneeded(slots);
    return true;
  }

  private int gain(WorkerState worker) {
    List<PreemptionCandidate> all = new ArrayList<>(worker.stopped);
    all.addAll(worker.next);
    return slots(worker, all) - slots(worker, worker.stopped);
  }

  private double lossPerSlot(WorkerState worker) {
    if (worker.next.isEmpty()) {
      return Double.MAX_VALUE;
    }
    long loss =
        worker.next.stream().mapToLong(run -> PreemptionPlanner.lossCoreMillis(request, run)).sum();
    return (double) loss / gain(worker);
  }

  /** Returns the stops that give a worker room for another task; empty if none do. */
  private List<PreemptionCandidate> nextStops(WorkerState worker) {
    int before = slots(worker, worker.stopped);
    List<PreemptionCandidate> all = new ArrayList<>(worker.stopped);
    List<PreemptionCandidate> added = new ArrayList<>();
    for (PreemptionCandidate run : worker.running) {
      all.add(run);
      added.add(run);
      if (slots(worker, all) > before) {
        for (int index = added.size() - 1; index >= 0; index--) {
          PreemptionCandidate dropped = added.get(index);
          all.remove(dropped);
          if (slots(worker, all) > before) {
            added.remove(index);
          } else {
            all.add(dropped);
          }
        }
        return added;
      }
    }
    return List.of();
  }

  private void dropUnneeded(int slots) {
    int spare = slots - request.taskCount();
    for (WorkerState worker : workers.values()) {
      for (int index = worker.stopped.size() - 1; index >= 0; index--) {
        List<PreemptionCandidate> rest = new ArrayList<>(worker.stopped);
        PreemptionCandidate dropped = rest.remove(index);
        int lost = slots(worker, worker.stopped) - slots(worker, rest);
        if (lost <= spare) {
          spare -= lost;
          worker.stopped.remove(index);
          worker.running.add(dropped);
        }
      }
    }
  }

  /** Returns how many tasks of the step fit on a worker once some runs there are stopped. */
  private int slots(WorkerState worker, List<PreemptionCandidate> stopped) {
    Room free = worker.room.free();
    long processors = free.milliProcessors();
    long memory = free.memoryMebibytes();
    long accelerators = free.accelerators();
    for (PreemptionCandidate run : stopped) {
      processors += run.size().milliProcessors();
      memory += run.size().memoryMebibytes();
      accelerators += run.size().accelerators();
    }
    long most = worker.room.maxTasks();
    most = Math.min(most, fitting(processors, request.taskSize().milliProcessors()));
    most = Math.min(most, fitting(memory, request.taskSize().memoryMebibytes()));
    most = Math.min(most, fitting(accelerators, request.taskSize().accelerators()));
    return (int) Math.max(0, Math.min(most, request.taskCount()));
  }

  private static long fitting(long free, long each) {
    return each == 0 ? Integer.MAX_VALUE : Math.max(0, free) / each;
  }

  /** Selects more runs until a condition holds; returns false if it cannot hold. */
  boolean stopUntil(BooleanSupplier satisfied, Predicate<PreemptionCandidate> useful) {
    if (satisfied.getAsBoolean()) {
      return true;
    }
    List<PreemptionCandidate> chosen = victims();
    for (PreemptionCandidate run : candidates) {
      if (useful.test(run) && !chosen.contains(run)) {
        stoppedForBounds.add(run);
        if (satisfied.getAsBoolean()) {
          return true;
        }
      }
    }
    return false;
  }

  /** Tells whether the step takes no more of the reserves than the stops add to the free room. */
  boolean sparesReserve() {
    long needed = request.taskCount() * request.taskSize().milliProcessors();
    long freed = victims().stream().mapToLong(run -> run.size().milliProcessors()).sum();
    return needed - freed <= Math.max(0, request.unreservedMilliProcessors());
  }

  /** Tells whether the step fits its customer's limit after the stops. */
  boolean fitsLimit() {
    List<PreemptionCandidate> own =
        PreemptionPlanner.select(victims(), run -> run.customer().equals(request.customer()));
    long processors = own.stream().mapToLong(run -> run.size().milliProcessors()).sum();
    long memory = own.stream().mapToLong(run -> run.size().memoryMebibytes()).sum();
    long accelerators = own.stream().mapToLong(run -> run.size().accelerators()).sum();
    Room limit = request.limitRoom();
    int count = request.taskCount();
    return count * request.taskSize().milliProcessors() <= limit.milliProcessors() + processors
        && count * request.taskSize().memoryMebibytes() <= limit.memoryMebibytes() + memory
        && (long) count * request.taskSize().accelerators() <= limit.accelerators() + accelerators;
  }

  List<PreemptionCandidate> victims() {
    List<PreemptionCandidate> victims = new ArrayList<>();
    workers.values().forEach(worker -> victims.addAll(worker.stopped));
    victims.addAll(stoppedForBounds);
    return victims;
  }

  /** Distributes the tasks, on workers with stops first. */
  Map<String, Integer> tasksByWorker() {
    Map<String, Integer> tasks = new LinkedHashMap<>();
    int left = request.taskCount();
    List<WorkerState> order = new ArrayList<>(workers.values());
    order.sort(Comparator.comparing(worker -> worker.stopped.isEmpty()));
    for (WorkerState worker : order) {
      int here = Math.min(left, slots(worker, worker.stopped));
      if (here > 0) {
        tasks.put(worker.room.worker(), here);
        left -= here;
      }
    }
    return tasks;
  }
}
