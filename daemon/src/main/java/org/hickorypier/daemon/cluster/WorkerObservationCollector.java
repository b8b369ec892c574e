package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hickorypier.core.permits.Holder;
import org.hickorypier.core.permits.WorkerObservation;
import org.hickorypier.daemon.permit.Holders;
import org.hickorypier.daemon.worker.WorkerFleet;
import org.hickorypier.platform.worker.TaskState;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.platform.worker.WorkerStatus;

/** Asks every worker which instance controls it and whose tasks it runs. Thread-safe. */
public final class WorkerObservationCollector {

  private WorkerObservationCollector() {}

  /**
   * Asks all listed workers for their status.
   *
   * @param fleet the workers
   * @param answer receives one observation per worker, or empty if no worker is listed or any
   *     worker did not answer
   */
  public static void collect(
      WorkerFleet fleet, Consumer<Optional<List<WorkerObservation>>> answer) {
    List<Uni<WorkerObservation>> questions = new ArrayList<>();
    fleet
        .listedWorkers()
        .forEach(
            (name, service) ->
                questions.add(service.status().map(WorkerObservationCollector::toSighting)));
    if (questions.isEmpty()) {
      answer.accept(Optional.empty());
      return;
    }
    Uni.join()
        .all(questions)
        .andFailFast()
        .subscribe()
        .with(
            observations -> answer.accept(Optional.of(observations)),
            error -> answer.accept(Optional.empty()));
  }

  private static WorkerObservation toSighting(WorkerStatus status) {
    Set<Holder> owners = new HashSet<>();
    for (TaskStatus task : status.tasks()) {
      if (task.state() == TaskState.RUNNING) {
        Holders.of(task.owner()).ifPresent(owners::add);
      }
    }
    return new WorkerObservation(status.name(), Holders.of(status.controller()), owners);
  }
}
