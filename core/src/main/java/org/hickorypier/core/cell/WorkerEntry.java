package org.hickorypier.core.cell;

import java.util.List;
import org.hickorypier.core.model.Resources;

/**
 * The entry that a worker writes for itself in the worker list.
 *
 * <p>Immutable.
 *
 * @param id the worker's id
 * @param service the service that the worker belongs to
 * @param address host and port
 * @param draining whether the worker takes no new tasks and will leave
 * @param remainingMillis while the worker drains, the minimum time that is left, in milliseconds
 * @param capacity the resources that the worker's tasks may use in total
 * @param labels the worker's kind and its rack, in this order
 * @param bornMillis start of the worker's current incarnation, in milliseconds since 1970; 0 if
 *     unknown
 * @param dataCentre the data centre that the worker stands in, or an empty string if unknown
 * @param coldMillis how much longer the worker is slow after its start, in milliseconds
 */
public record WorkerEntry(
    String id,
    String service,
    String address,
    boolean draining,
    long remainingMillis,
    Resources capacity,
    List<String> labels,
    long bornMillis,
    String dataCentre,
    long coldMillis) {

  /** Copies the list, so that the record is immutable. */
  public WorkerEntry {
    labels = List.copyOf(labels);
  }

  /**
   * Creates the entry of a warm worker whose data centre is unknown.
   *
   * @param id the worker's id
   * @param service the service that the worker belongs to
   * @param address host and port
   * @param draining whether the worker takes no new tasks and will leave
   * @param remainingMillis while the worker drains, the minimum time that is left, in milliseconds
   * @param capacity the resources that the worker's tasks may use in total
   * @param labels the worker's kind and its rack, in this order
   * @param bornMillis start of the worker's current incarnation, in milliseconds since 1970
   */
  public WorkerEntry(
      String id,
      String service,
      String address,
      boolean draining,
      long remainingMillis,
      Resources capacity,
      List<String> labels,
      long bornMillis) {
    this(id, service, address, draining, remainingMillis, capacity, labels, bornMillis, "", 0);
  }

  /**
   * Returns the entry marked as draining or not.
   *
   * @param marked whether the worker takes no new tasks and will leave
   * @return the entry
   */
  public WorkerEntry withDraining(boolean marked) {
    return new WorkerEntry(
        id,
        service,
        address,
        marked,
        remainingMillis,
        capacity,
        labels,
        bornMillis,
        dataCentre,
        coldMillis);
  }

  /**
   * Returns the entry of another incarnation of the worker.
   *
   * @param otherBornMillis start of that incarnation, in milliseconds since 1970
   * @param otherCapacity its capacity
   * @return the entry
   */
  public WorkerEntry ofIncarnation(long otherBornMillis, Resources otherCapacity) {
    return new WorkerEntry(
        id,
        service,
        address,
        draining,
        remainingMillis,
        otherCapacity,
        labels,
        otherBornMillis,
        dataCentre,
        coldMillis);
  }

  /**
   * Returns the entry of the same worker in a data centre.
   *
   * @param newDataCentre the data centre
   * @param newColdMillis how much longer the worker is slow after its start, in milliseconds
   * @return the entry
   */
  public WorkerEntry in(String newDataCentre, long newColdMillis) {
    return new WorkerEntry(
        id,
        service,
        address,
        draining,
        remainingMillis,
        capacity,
        labels,
        bornMillis,
        newDataCentre,
        newColdMillis);
  }

  /**
   * Returns the worker's kind.
   *
   * @return the kind, or an empty string if the worker has no such label
   */
  public String kind() {
    return labels.isEmpty() ? "" : labels.get(0);
  }

  /**
   * Returns the label of the worker's rack.
   *
   * @return the rack, or an empty string if the worker has no such label
   */
  public String rack() {
    return labels.size() > 1 ? labels.get(1) : "";
  }
}
