package org.hickorypier.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.fold.FoldedId;
import org.hickorypier.core.fold.RecentIds;

/**
 * The configuration as folded up to an offset.
 *
 * <p>Immutable and thread safe. Two instances that folded up to the same offset hold equal
 * configurations. Changes come from {@link ConfigurationFold} alone.
 *
 * @param offset the last offset folded, -1 if none
 * @param teams the teams by name
 * @param keys the keys by public part, the withdrawn ones too
 * @param drains the drains by name of instance or worker
 * @param ids the ids folded of late
 */
public record Configuration(
    long offset,
    Map<String, Team> teams,
    Map<String, Key> keys,
    Map<String, Drain> drains,
    RecentIds ids) {

  /**
   * For how many offsets an id is remembered. At the target of 3,000 changes a day this is 16
   * hours; a repeat comes within seconds of an outage's end.
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
   * Returns what became of a change.
   *
   * @param id the id of the change
   * @return offset and verdict, or empty if it was not folded, or too long ago
   */
  public Optional<FoldedId> findFoldedId(String id) {
    return ids.find(id);
  }

  /**
   * Tells whether an instance or worker is drained.
   *
   * @param name its name
   * @return true if it takes no new work
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

  /** Also drops drains that ended long ago, so that replaced workers leave nothing behind. */
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
