package org.hickorypier.core.fold;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The recently folded record ids, oldest first, which detect duplicate records.
 *
 * <p>Immutable and thread-safe. Ids expire by distance in offsets and not by time, so that all
 * instances remove the same ids at the same record.
 *
 * <p>An append whose answer was lost is retried under the same id. Without duplicate detection, the
 * retry of an old change would undo a newer one. Appenders retry within seconds of the end of an
 * outage, and no instance appends during the outage, so the retained offsets cover every retry as
 * long as they exceed the number of records that all instances append in that time.
 */
public final class RecentIds {

  private final long retainedOffsets;
  private final Map<String, FoldedId> ids;

  private RecentIds(long retainedOffsets, Map<String, FoldedId> ids) {
    this.retainedOffsets = retainedOffsets;
    this.ids = ids;
  }

  /**
   * Creates an empty set of recent ids.
   *
   * @param retainedOffsets the number of offsets for which an id is retained
   * @return the set
   */
  public static RecentIds empty(long retainedOffsets) {
    return new RecentIds(retainedOffsets, Map.of());
  }

  /**
   * Creates a set of recent ids from the entries of a snapshot.
   *
   * @param retainedOffsets the number of offsets for which an id is retained
   * @param entries the entries, oldest first
   * @return the set
   */
  public static RecentIds of(long retainedOffsets, Collection<FoldedId> entries) {
    Map<String, FoldedId> ids = new LinkedHashMap<>();
    entries.forEach(entry -> ids.putIfAbsent(entry.id(), entry));
    return new RecentIds(retainedOffsets, ids);
  }

  /**
   * Finds the entry of an id.
   *
   * @param id the id
   * @return the entry, or empty if the id was never folded or has expired
   */
  public Optional<FoldedId> find(String id) {
    return Optional.ofNullable(ids.get(id));
  }

  /**
   * Returns a copy with an added entry and without the entries that expire at its offset.
   *
   * @param entry the entry, whose offset is the highest so far
   * @return the copy
   */
  public RecentIds plus(FoldedId entry) {
    Map<String, FoldedId> next = new LinkedHashMap<>(ids.size() * 2);
    for (FoldedId known : ids.values()) {
      if (known.offset() >= entry.offset() - retainedOffsets) {
        next.put(known.id(), known);
      }
    }
    next.putIfAbsent(entry.id(), entry);
    return new RecentIds(retainedOffsets, next);
  }

  /**
   * Returns all entries.
   *
   * @return the entries, oldest first
   */
  public List<FoldedId> entries() {
    return List.copyOf(new ArrayList<>(ids.values()));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RecentIds that
        && retainedOffsets == that.retainedOffsets
        && ids.equals(that.ids);
  }

  @Override
  public int hashCode() {
    return ids.hashCode();
  }
}
