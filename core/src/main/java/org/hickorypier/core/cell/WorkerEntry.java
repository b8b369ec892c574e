package org.hickorypier.core.cell;

import java.util.List;
import org.hickorypier.core.model.Resources;

/**
 * What a worker says of itself in the list of workers.
 *
 * <p>Immutable.
 *
 * @param id the worker's id
 * @param service the service it belongs to
 * @param address host and port
 * @param draining it takes no new tasks and will leave
 * @param remainingMillis while it drains, the least time that is left, in milliseconds
 * @param capacity what its tasks may need together
 * @param labels its kind and its rack, in this order
 * @param bornMillis start of its present life, milliseconds since 1970; 0 if unknown
 */
public record WorkerEntry(
    String id,
    String service,
    String address,
    boolean draining,
    long remainingMillis,
    Resources capacity,
    List<String> labels,
    long bornMillis) {

  /** Copies the list, so that the record stays as it is. */
  public WorkerEntry {
    labels = List.copyOf(labels);
  }

  /**
   * Returns the worker's kind.
   *
   * @return the kind, or empty if the worker names none
   */
  public String kind() {
    return labels.isEmpty() ? "" : labels.get(0);
  }

  /**
   * Returns the label of the rack.
   *
   * @return the rack, or empty if the worker names none
   */
  public String rack() {
    return labels.size() > 1 ? labels.get(1) : "";
  }
}
