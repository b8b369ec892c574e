package org.hickorypier.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.Resources;

/**
 * The running and ready work of a cell and the capacity for it, at one time.
 *
 * <p>Immutable.
 *
 * @param atMillis when it was read, on the owner's clock
 * @param complete whether the owner knows enough to refuse: it has a configuration, and its workers
 *     had time to report what they run
 * @param capacities usable capacity by service and label; the label is empty for the whole service
 * @param limits upper limits of the customers that have one; 0 in a component means no limit
 * @param groups the work, in the order of placing
 */
public record Backlog(
    long atMillis,
    boolean complete,
    Map<Pool, Resources> capacities,
    Map<String, Resources> limits,
    List<WorkGroup> groups) {

  /**
   * The workers of a service with a label.
   *
   * @param service the service
   * @param label the label, or empty for all workers of the service
   */
  public record Pool(String service, String label) {}

  /** Copies and sorts the collections, so that the record is immutable. */
  public Backlog {
    capacities = Map.copyOf(capacities);
    limits = Map.copyOf(limits);
    groups = groups.stream().sorted(Comparator.comparing(WorkGroup::place)).toList();
  }

  /** Returns the backlog with the work of further groups. */
  Backlog with(List<WorkGroup> more) {
    if (more.isEmpty()) {
      return this;
    }
    List<WorkGroup> all = new ArrayList<>(groups);
    all.addAll(more);
    return new Backlog(atMillis, complete, capacities, limits, all);
  }

  Resources capacity(String service, String label) {
    return capacities.getOrDefault(new Pool(service, label), Resources.NONE);
  }

  Optional<Resources> limit(String customer) {
    return Optional.ofNullable(limits.get(customer));
  }
}
