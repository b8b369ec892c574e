package org.hickorypier.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hickorypier.core.fold.FoldedId;
import org.hickorypier.core.fold.RecentIds;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.wire.record.ConfigurationRecord.DrainEntry;
import org.hickorypier.wire.record.ConfigurationRecord.KeyEntry;
import org.hickorypier.wire.record.ConfigurationRecord.Snapshot;
import org.hickorypier.wire.record.ConfigurationRecord.TeamEntry;
import org.hickorypier.wire.record.FoldedIdEntry;

/**
 * Converts a configuration to a snapshot record and back.
 *
 * <p>A snapshot contains the retained change ids. Without them an instance that started from a
 * snapshot would apply a repeated change again and diverge from all other instances.
 *
 * <p>Thread-safe: it holds no state.
 */
public final class ConfigurationSnapshots {

  private ConfigurationSnapshots() {}

  /**
   * Creates the snapshot of a configuration.
   *
   * @param id the id of the record
   * @param state the configuration
   * @return the record
   */
  public static Snapshot toSnapshot(String id, Configuration state) {
    List<TeamEntry> teams = new ArrayList<>();
    state.teams().values().stream()
        .sorted(Comparator.comparing(Team::name))
        .forEach(
            team ->
                teams.add(
                    new TeamEntry(team.name(), team.revision(), team.share(), team.upperLimit())));
    List<KeyEntry> keys = new ArrayList<>();
    state.keys().values().stream()
        .sorted(Comparator.comparing(Key::keyId))
        .forEach(
            key ->
                keys.add(
                    new KeyEntry(
                        key.keyId(),
                        key.revision(),
                        key.team(),
                        key.salt(),
                        key.hash(),
                        key.withdrawn())));
    List<DrainEntry> drains = new ArrayList<>();
    state.drains().values().stream()
        .sorted(Comparator.comparing(Drain::name))
        .forEach(
            drain ->
                drains.add(
                    new DrainEntry(
                        drain.name(), drain.revision(), drain.draining(), drain.offset())));
    List<FoldedIdEntry> ids = new ArrayList<>();
    for (FoldedId entry : state.ids().entries()) {
      ids.add(new FoldedIdEntry(entry.id(), entry.offset(), entry.verdict().ordinal()));
    }
    return new Snapshot(id, state.offset(), teams, keys, drains, ids);
  }

  /**
   * Tells whether a snapshot is complete and its entries are valid.
   *
   * @param snapshot the record
   * @return false if a part is missing or an entry is invalid
   */
  static boolean isComplete(Snapshot snapshot) {
    return snapshot.teams() != null
        && snapshot.keys() != null
        && snapshot.drains() != null
        && snapshot.ids() != null
        && snapshot.teams().stream().allMatch(entry -> entry != null && entry.name() != null)
        && snapshot.keys().stream().allMatch(ConfigurationSnapshots::isComplete)
        && snapshot.drains().stream().allMatch(entry -> entry != null && entry.name() != null)
        && snapshot.ids().stream().allMatch(ConfigurationSnapshots::isComplete);
  }

  private static boolean isComplete(KeyEntry entry) {
    return entry != null
        && entry.keyId() != null
        && entry.team() != null
        && entry.salt() != null
        && entry.hash() != null;
  }

  private static boolean isComplete(FoldedIdEntry entry) {
    return entry != null
        && entry.id() != null
        && entry.verdict() >= 0
        && entry.verdict() < Verdict.values().length;
  }

  static Configuration fromSnapshot(Snapshot snapshot) {
    Map<String, Team> teams = new HashMap<>();
    for (TeamEntry entry : snapshot.teams()) {
      teams.put(
          entry.name(),
          new Team(entry.name(), entry.revision(), entry.share(), entry.upperLimit()));
    }
    Map<String, Key> keys = new HashMap<>();
    for (KeyEntry entry : snapshot.keys()) {
      keys.put(
          entry.keyId(),
          new Key(
              entry.keyId(),
              entry.revision(),
              entry.team(),
              entry.salt(),
              entry.hash(),
              entry.withdrawn()));
    }
    Map<String, Drain> drains = new HashMap<>();
    for (DrainEntry entry : snapshot.drains()) {
      drains.put(
          entry.name(),
          new Drain(entry.name(), entry.revision(), entry.draining(), entry.offset()));
    }
    List<FoldedId> ids =
        snapshot.ids().stream()
            .filter(Objects::nonNull)
            .map(
                entry ->
                    new FoldedId(entry.id(), entry.offset(), Verdict.values()[entry.verdict()]))
            .toList();
    return new Configuration(
        snapshot.upTo(),
        teams,
        keys,
        drains,
        RecentIds.of(Configuration.ID_RETENTION_OFFSETS, ids));
  }
}
