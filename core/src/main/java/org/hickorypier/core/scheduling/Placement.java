package org.hickorypier.core.scheduling;

import java.util.List;
import org.hickorypier.core.model.WorkItem;

/**
 * The decision to start an item now.
 *
 * <p>Immutable.
 *
 * @param item the work
 * @param tasks its tasks that start now, each with its worker
 */
public record Placement(WorkItem item, List<PlacedTask> tasks) {

  /** Copies the list of tasks. */
  public Placement {
    tasks = List.copyOf(tasks);
  }
}
