package org.hickorypier.standins.store;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The platform's metadata store in memory: keyed topics with epochs and conditions, and one group
 * that deals the partitions of a topic.
 *
 * <p>Thread safe. Time is passed in, so that tests of lifetimes need not wait.
 */
public final class InMemoryStore {

  private final LongSupplier millis;
  private final Map<String, PartitionLog> logs = new HashMap<>();
  private final Map<String, Map<String, byte[]>> kept = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private final int partitions;

  /** Number of records put; the epoch of each, so that none passes for a repeat of another. */
  private long puts;

  /** A group with its members, in the order of their names. */
  private static final class Group {
    private final Map<String, Long> aliveUntil = new TreeMap<>();
    private final Map<String, Long> seen = new HashMap<>();
    private long generation;
  }

  /**
   * Creates an empty store.
   *
   * @param partitions how many partitions a topic has that a group deals
   * @param millis the time
   */
  public InMemoryStore(int partitions, LongSupplier millis) {
    this.partitions = partitions;
    this.millis = millis;
  }

  private PartitionLog log(String topic, int partition) {
    return logs.computeIfAbsent(topic + '/' + partition, name -> new PartitionLog());
  }

  /**
   * Appends records.
   *
   * @param topic the topic
   * @param partition the partition
   * @param records the records, without their length
   * @param terms the conditions
   * @return the offset of the first and the new end
   * @throws StoreRefusal if a condition does not hold
   */
  public synchronized JsonObject append(
      String topic, int partition, List<byte[]> records, AppendTerms terms) throws StoreRefusal {
    PartitionLog log = log(topic, partition);
    long offset = log.append(records, terms);
    return new JsonObject().put("Offset", offset).put("End", log.end());
  }

  /**
   * Writes one key as the operator or a worker does.
   *
   * @param topic the topic
   * @param key the key
   * @param value the value, or null to drop the key
   */
  public synchronized void put(String topic, String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    int length = value == null ? 0 : value.length;
    byte[] entry = new byte[1 + name.length + length];
    entry[0] = (byte) name.length;
    System.arraycopy(name, 0, entry, 1, name.length);
    if (value != null) {
      System.arraycopy(value, 0, entry, 1 + name.length, length);
    }
    try {
      log(topic, 0).append(List.of(entry), new AppendTerms(-1, key, ++puts, 1));
    } catch (StoreRefusal error) {
      throw new IllegalStateException("a write without conditions was refused", error);
    }
  }

  /**
   * Reads records.
   *
   * @param topic the topic
   * @param partition the partition
   * @param from the offset to read from
   * @return the records, without their length
   * @throws StoreRefusal if they are gone
   */
  public synchronized List<byte[]> read(String topic, int partition, long from)
      throws StoreRefusal {
    return log(topic, partition).from(from);
  }

  /**
   * Returns where a partition ends.
   *
   * @param topic the topic
   * @param partition the partition
   * @return the offset after its last record
   */
  public synchronized long end(String topic, int partition) {
    return log(topic, partition).end();
  }

  /**
   * Returns the first offset that is kept.
   *
   * @param topic the topic
   * @param partition the partition
   * @return the offset
   */
  public synchronized long first(String topic, int partition) {
    return log(topic, partition).first();
  }

  /**
   * Returns the newest record of each key, a page at a time.
   *
   * @param topic the topic
   * @param partition the partition
   * @param after the last key of the page before, or null
   * @param most how many records a page holds
   * @return the page
   */
  public synchronized JsonObject newest(String topic, int partition, String after, int most) {
    Map<String, byte[]> values =
        new TreeMap<>(kept.getOrDefault(topic + '/' + partition, Map.of()));
    values.putAll(log(topic, partition).keyed());
    values.values().removeIf(value -> value == null);
    JsonArray items = new JsonArray();
    boolean more = false;
    for (Map.Entry<String, byte[]> entry : values.entrySet()) {
      if (after != null && entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (items.size() == most) {
        more = true;
        break;
      }
      String value = Base64.getEncoder().encodeToString(entry.getValue());
      items.add(new JsonObject().put("Key", entry.getKey()).put("Value", value));
    }
    long end = log(topic, partition).end();
    return new JsonObject().put("items", items).put("HasMore", more).put("End", end);
  }

  /** Forgets the history of all topics; the newest record of each key stays. */
  public synchronized void forgetHistory() {
    logs.forEach(
        (name, log) -> log.forgetHistory(kept.computeIfAbsent(name, key -> new LinkedHashMap<>())));
  }

  /**
   * Joins a group, or keeps the member in it.
   *
   * @param name the group
   * @param member the member
   * @param topic the topic to deal
   * @param lifetimeMillis the member's lifetime without a sign
   * @return the generation and the member's partitions
   */
  public synchronized JsonObject join(
      String name, String member, String topic, long lifetimeMillis) {
    Group group = groups.computeIfAbsent(name, key -> new Group());
    expire(group);
    if (!group.aliveUntil.containsKey(member)) {
      group.generation++;
    }
    group.aliveUntil.put(member, millis.getAsLong() + lifetimeMillis);
    group.seen.put(member, group.generation);
    List<String> members = new ArrayList<>(group.aliveUntil.keySet());
    JsonArray rows = new JsonArray();
    for (int partition = 0; partition < partitions; partition++) {
      if (members.get(partition % members.size()).equals(member)) {
        rows.add(new JsonArray().add(topic).add(partition).add(0));
      }
    }
    return new JsonObject().put("Generation", group.generation).put("parts", rows);
  }

  /**
   * Leaves a group.
   *
   * @param name the group
   * @param member the member
   */
  public synchronized void leave(String name, String member) {
    Group group = groups.computeIfAbsent(name, key -> new Group());
    if (group.aliveUntil.remove(member) != null) {
      group.generation++;
    }
  }

  private void expire(Group group) {
    long now = millis.getAsLong();
    if (group.aliveUntil.values().removeIf(until -> until < now)) {
      group.generation++;
    }
  }
}
