package org.hickorypier.standins.store;

import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One partition: its records, and who may write.
 *
 * <p>Not thread safe.
 */
final class PartitionLog {

  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int PRECONDITION_FAILED = 412;
  private static final int REMEMBERED = 5;

  private final List<byte[]> records = new ArrayList<>();
  private final Map<String, Writer> writers = new HashMap<>();
  private long first;

  /** One producer's epoch and last appends. */
  private static final class Writer {
    private long epoch = -1;
    private long sequence;
    private final Map<Long, Long> answers = new LinkedHashMap<>();
  }

  long end() {
    return first + records.size();
  }

  long first() {
    return first;
  }

  /** Returns the offset of the first record appended. */
  long append(List<byte[]> added, AppendTerms terms) throws StoreRefusal {
    Writer writer = writers.computeIfAbsent(terms.producer(), name -> new Writer());
    if (terms.epoch() < writer.epoch) {
      throw new StoreRefusal(
          CONFLICT, new JsonObject().put("Reason", "fenced").put("epoch", writer.epoch));
    }
    boolean newEpoch = terms.epoch() > writer.epoch;
    if (!newEpoch && writer.answers.containsKey(terms.sequence())) {
      return writer.answers.get(terms.sequence());
    }
    if (terms.expectedEnd() >= 0 && terms.expectedEnd() != end()) {
      throw new StoreRefusal(PRECONDITION_FAILED, new JsonObject().put("End", end()));
    }
    if (!newEpoch && !added.isEmpty() && terms.sequence() != writer.sequence + 1) {
      throw new StoreRefusal(
          CONFLICT, new JsonObject().put("Reason", "seq").put("Sequence", writer.sequence + 1));
    }
    if (newEpoch) {
      writer.epoch = terms.epoch();
      writer.answers.clear();
      writer.sequence = terms.sequence() - 1;
    }
    long offset = end();
    records.addAll(added);
    if (!added.isEmpty()) {
      writer.sequence = terms.sequence();
      writer.answers.put(terms.sequence(), offset);
      if (writer.answers.size() > REMEMBERED) {
        writer.answers.remove(writer.answers.keySet().iterator().next());
      }
    }
    return offset;
  }

  List<byte[]> from(long offset) throws StoreRefusal {
    if (offset < first) {
      throw new StoreRefusal(GONE, new JsonObject().put("First", first));
    }
    int index = (int) Math.min(offset - first, records.size());
    return new ArrayList<>(records.subList(index, records.size()));
  }

  /** Drops the history; a keyed partition keeps the newest of each key all the same. */
  void forgetHistory(Map<String, byte[]> newest) {
    newest.putAll(keyed());
    first = end();
    records.clear();
  }

  /** Returns the newest value of each key among the records that are left. */
  Map<String, byte[]> keyed() {
    Map<String, byte[]> values = new LinkedHashMap<>();
    for (byte[] entry : records) {
      int length = entry[0] & 0xff;
      String key = new String(entry, 1, length, StandardCharsets.UTF_8);
      byte[] value = Arrays.copyOfRange(entry, 1 + length, entry.length);
      values.remove(key);
      values.put(key, value.length == 0 ? null : value);
    }
    return values;
  }
}
