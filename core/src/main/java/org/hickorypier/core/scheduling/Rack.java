package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.List;

/**
 * The workers of a rack and the services on them.
 *
 * <p>Confined to the control thread.
 */
final class Rack {

  private final List<WorkerState> workers = new ArrayList<>();
  private final ServiceCounts services = new ServiceCounts();

  List<WorkerState> workers() {
    return workers;
  }

  ServiceCounts services() {
    return services;
  }
}
