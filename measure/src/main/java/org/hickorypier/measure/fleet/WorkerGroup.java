package org.hickorypier.measure.fleet;

import java.util.List;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * A process that hosts workers.
 *
 * <p>Immutable.
 *
 * @param process the process
 * @param workers where its workers listen, in the order of their names
 */
public record WorkerGroup(JavaProcess process, List<ServiceAddress> workers) {

  /** Copies the list. */
  public WorkerGroup {
    workers = List.copyOf(workers);
  }
}
