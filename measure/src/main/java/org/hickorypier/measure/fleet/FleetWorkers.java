package org.hickorypier.measure.fleet;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hickorypier.platform.http.JsonCodec;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.worker.WorkerStatus;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.worker.FleetHistory;
import org.hickorypier.standins.worker.WorkerConditions;
import org.hickorypier.standins.worker.WorkerHistory;

/**
 * The stand-in workers of a fleet, asked and disturbed over HTTP.
 *
 * <p>Thread safe.
 */
public final class FleetWorkers {

  private final FleetClient client;
  private final List<WorkerGroup> groups = new CopyOnWriteArrayList<>();

  FleetWorkers(FleetClient client) {
    this.client = client;
  }

  void add(WorkerGroup group) {
    groups.add(group);
  }

  /**
   * Returns the processes that host workers.
   *
   * @return a copy
   */
  public List<WorkerGroup> groups() {
    return List.copyOf(groups);
  }

  /**
   * Reads the workers' own records. Workers whose process was killed are left out.
   *
   * @return the records
   * @throws FleetException if a worker does not answer
   */
  public FleetHistory history() throws FleetException {
    return history(live());
  }

  /**
   * Reads the records of the workers of one process.
   *
   * @param group the process
   * @return the records
   * @throws FleetException if a worker does not answer
   */
  public FleetHistory history(WorkerGroup group) throws FleetException {
    return history(group.workers());
  }

  private FleetHistory history(List<ServiceAddress> workers) throws FleetException {
    List<WorkerHistory> histories = new ArrayList<>();
    for (ServiceAddress worker : workers) {
      histories.add(get(worker, "/history", WorkerHistory.class));
    }
    return new FleetHistory(histories);
  }

  /**
   * Tells who controls each live worker.
   *
   * @return the controllers, name and incarnation; empty for a worker without one
   * @throws FleetException if a worker does not answer
   */
  public Set<String> controllers() throws FleetException {
    Set<String> controllers = new TreeSet<>();
    for (ServiceAddress worker : live()) {
      controllers.add(get(worker, "/status", WorkerStatus.class).controller());
    }
    return controllers;
  }

  /**
   * Plans faults of every worker.
   *
   * @param plan what goes wrong
   * @throws FleetException if a worker does not answer
   */
  public void fault(FaultPlan plan) throws FleetException {
    for (ServiceAddress worker : live()) {
      client.call(HttpMethod.POST, worker, "/faults", JsonCodec.encode(plan));
    }
  }

  /**
   * Changes the condition of every worker.
   *
   * @param conditions the condition
   * @throws FleetException if a worker does not answer
   */
  public void condition(WorkerConditions conditions) throws FleetException {
    for (ServiceAddress worker : live()) {
      client.call(HttpMethod.POST, worker, "/conditions", JsonCodec.encode(conditions));
    }
  }

  /** Returns where the workers listen whose process has not been killed. */
  List<ServiceAddress> live() {
    return groups.stream()
        .filter(group -> group.process().isAlive())
        .flatMap(group -> group.workers().stream())
        .toList();
  }

  WorkerStatus status(ServiceAddress worker) throws FleetException {
    return get(worker, "/status", WorkerStatus.class);
  }

  private <T> T get(ServiceAddress at, String path, Class<T> type) throws FleetException {
    Buffer body = client.call(HttpMethod.GET, at, path, null);
    try {
      return JsonCodec.decode(body, type);
    } catch (IOException error) {
      throw new FleetException(path + " at " + at + " is not understood", error);
    }
  }
}
