package org.hickorypier.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.fold.FoldedId;
import org.hickorypier.core.fold.RecentIds;

/**
 * The configuration state that results from folding the stream up to an offset.
 *
 * <p>Immutable and thread-safe. Two instances that folded up to the same offset hold equal
 * configurations. Only {@link ConfigurationFold} derives new states.
 *
 * @param offset the last offset folded, -1 if none
 * @param teams the teams by name
 * @param keys the keys by public part, including withdrawn keys
 * @param drains the drains by name of instance or worker
 * @param ids the ids of recently folded changes
 */
public record Configuration(
    long offset,
    Map<String, Team> teams,
    Map<String, Key> keys,
    Map<String, Drain> drains,
    RecentIds ids) {

  /**
   * Number of offsets for which the id of a change is retained. At the target of 3,000 changes a
   * day this is 16 hours, and an append is repeated within seconds of the end of an outage.
   */
  static final long ID_RETENTION_OFFSETS = 2_048;

  /** The configuration before the first record. */
  public static final Configuration EMPTY =
      new Configuration(-1, Map.of(), Map.of(), Map.of(), RecentIds.empty(ID_RETENTION_OFFSETS));

  /** Copies the maps. */
  public Configuration {
    teams = Map.copyOf(teams);
    keys = Map.copyOf(keys);
    drains = Map.copyOf(drains);
  }

  /**
   * Returns the offset and verdict of a recently folded change.
   *
   * @param id the id of the change
   * @return the offset and verdict, or empty if the change was not folded or is no longer retained
   */
  public Optional<FoldedId> findFoldedId(String id) {
    return ids.find(id);
  }

  /**
   * Tells whether an instance or worker is draining.
   *
   * @param name its name
   * @return true if it accepts no new work
   */
  public boolean isDraining(String name) {
    Drain drain = drains.get(name);
    return drain != null && drain.draining();
  }

  Configuration with(Team team) {
    Map<String, Team> next = new HashMap<>(teams);
    next.put(team.name(), team);
    return new Configuration(offset, next, keys, drains, ids);
  }

  Configuration with(Key key) {
    Map<String, Key> next = new HashMap<>(keys);
    next.put(key.keyId(), key);
    return new Configuration(offset, teams, next, drains, ids);
  }

  /** Also evicts drains that ended long ago, so that replaced workers leave no entries. */
  Configuration with(Drain drain) {
    Map<String, Drain> next = new HashMap<>(drains);
    next.values()
        .removeIf(old -> !old.draining() && old.offset() < drain.offset() - ID_RETENTION_OFFSETS);
    next.put(drain.name(), drain);
    return new Configuration(offset, teams, keys, next, ids);
  }

  Configuration withOffset(long newOffset) {
    return new Configuration(newOffset, teams, keys, drains, ids);
  }

  Configuration withFoldedId(FoldedId entry) {
    return new Configuration(offset, teams, keys, drains, ids.plus(entry));
  }
}
