package org.hickorypier.core.cell;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.Resources;

/**
 * One incarnation of a worker, from its start until it crashes, leaves or restarts. The next one
 * may have other labels and another capacity under the same id and address.
 *
 * <p>Invariant: the description is that of this incarnation. Without one there are no labels and no
 * capacity, so that nothing fits. Immutable.
 *
 * @param bornMillis the start of the incarnation, in milliseconds since 1970
 * @param description the worker's entry in this incarnation; empty if none was read, or if the
 *     worker has since begun another one
 */
record WorkerIncarnation(long bornMillis, Optional<WorkerEntry> description) {

  /** Returns an incarnation of which only the start is known. */
  static WorkerIncarnation undescribed(long bornMillis) {
    return new WorkerIncarnation(bornMillis, Optional.empty());
  }

  /** Returns the incarnation as of an entry that was read later. */
  WorkerIncarnation after(WorkerEntry entry) {
    if (entry.bornMillis() == bornMillis) {
      return new WorkerIncarnation(bornMillis, Optional.of(entry));
    }
    return entry.bornMillis() > bornMillis ? undescribed(bornMillis) : this;
  }

  boolean isDescribed() {
    return description.isPresent();
  }

  Resources capacity() {
    return description.map(WorkerEntry::capacity).orElse(Resources.NONE);
  }

  List<String> labels() {
    return description.map(WorkerEntry::labels).orElse(List.of());
  }

  String kind() {
    return description.map(WorkerEntry::kind).orElse("");
  }

  String rack() {
    return description.map(WorkerEntry::rack).orElse("");
  }
}
