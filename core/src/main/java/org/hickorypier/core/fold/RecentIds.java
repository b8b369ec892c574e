package org.hickorypier.core.fold;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The ids folded of late, oldest first.
 *
 * <p>Immutable and thread safe. Ids are forgotten by distance in offsets and not by time, so that
 * all instances forget the same ones at the same record.
 *
 * <p>An append whose answer was lost is repeated under the same id. Without this memory the repeat
 * of an old change would undo the newer one after it. An appender repeats within seconds of an
 * outage's end, and nobody appends during the outage; so the distance covers every repeat as long
 * as it exceeds what all instances append in that time.
 */
public final class RecentIds {

  private final long retainedOffsets;
  private final Map<String, FoldedId> ids;

  private RecentIds(long distance, Map<String, FoldedId> ids) {
    this.retainedOffsets = distance;
    this.ids = ids;
  }

  /**
   * Creates an empty memory.
   *
   * @param distance for how many offsets an id is remembered
   * @return the memory
   */
  public static RecentIds empty(long distance) {
    return new RecentIds(distance, Map.of());
  }

  /**
   * Creates a memory from the entries of a snapshot.
   *
   * @param distance for how many offsets an id is remembered
   * @param entries the entries, oldest first
   * @return the memory
   */
  public static RecentIds of(long distance, Collection<FoldedId> entries) {
    Map<String, FoldedId> ids = new LinkedHashMap<>();
    entries.forEach(entry -> ids.putIfAbsent(entry.id(), entry));
    return new RecentIds(distance, ids);
  }

  /**
   * Looks an id up.
   *
   * @param id the id
   * @return what became of it, or empty if it was never folded or is forgotten
   */
  public Optional<FoldedId> find(String id) {
    return Optional.ofNullable(ids.get(id));
  }

  /**
   * Returns a memory that also holds the entry and has forgotten what is too far behind it.
   *
   * @param entry the entry, with the highest offset so far
   * @return the new memory
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
