import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The platform's store as a log, after PROTOCOL.md, "The platform's metadata store". */
final class Store {

  static final int RECORD_BYTES = 262_144;
  static final int CALL_BYTES = 2_097_152;
  static final long PART_BYTES = 200L << 20;
  private static final int PARTS = 12;

  /** Delays of the answers, in milliseconds; a disruption may raise the first. */
  volatile long answerMillis = 4;

  /** The instance that last wrote under a condition, or -1. */
  volatile int lastConditionalWriter = -1;

  /** Appends that were refused since a record is too long. */
  volatile int tooLong;

  volatile int longestRecord;

  private final Vertx vertx;
  private final Map<String, Log> logs = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();

  Store(Vertx vertx) {
    this.vertx = vertx;
  }

  private static final class Log {
    long first;
    long bytes;
    double freeAt;
    final ArrayDeque<byte[]> records = new ArrayDeque<>();
    final TreeMap<String, byte[]> newest = new TreeMap<>();
    final Map<String, Long> offsets = new HashMap<>();
    final Map<String, Writer> writers = new HashMap<>();

    long end() {
      return first + records.size();
    }
  }

  private static final class Writer {
    long epoch = -1;
    long sequence;
    final LinkedHashMap<Long, JsonObject> answers = new LinkedHashMap<>();
  }

  private static final class Group {
    final TreeMap<String, Long> aliveUntil = new TreeMap<>();
    long generation;
  }

  /** Listens for one instance, so that its calls can be told from those of others. */
  int listen(int instance) throws Exception {
    return vertx
        .createHttpServer()
        .requestHandler(request -> request.body().onSuccess(body -> handle(instance, request, body)))
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get(10, TimeUnit.SECONDS)
        .actualPort();
  }

  /**
   * Returns how long an append takes: a partition takes one at a time, each for 2 ms and at 20 MB/s.
   */
  private synchronized long appendMillis(HttpServerRequest request, Buffer body) {
    Log log = log(text(request, "Topic", ""), number(request, "part", 0));
    double now = System.nanoTime() / 1e6;
    log.freeAt = Math.max(log.freeAt, now) + 2 + body.length() / 20_000.0;
    return Math.round(log.freeAt - now);
  }

  private void handle(int instance, HttpServerRequest request, Buffer body) {
    long appendMillis =
        request.path().endsWith("/log-append") ? appendMillis(request, body) : 0;
    vertx.setTimer(
        Math.max(1, Math.max(answerMillis, appendMillis)),
        timer -> {
          try {
            switch (request.path()) {
              case "/hickorypier/log-append" -> append(instance, request, body);
              case "/hickorypier/log-read" -> read(request);
              case "/hickorypier/log-newest" -> newest(request);
              case "/hickorypier/log-join" -> join(request, body.toJsonObject());
              case "/hickorypier/log-leave" -> leave(request, body.toJsonObject());
              case "/hickorypier/log-commit", "/hickorypier/log-trim" ->
                  reply(request, 200, new JsonObject());
              default -> reply(request, 404, new JsonObject());
            }
          } catch (RuntimeException error) {
            reply(request, 400, new JsonObject().put("Error", error.toString()));
          }
        });
  }

  private static void reply(HttpServerRequest request, int status, JsonObject body) {
    if (!request.response().closed()) {
      request.response().setStatusCode(status).end(body.toBuffer());
    }
  }

  private static String text(HttpServerRequest request, String name, String otherwise) {
    String value = request.getParam(name);
    return value == null ? otherwise : value;
  }

  private static long number(HttpServerRequest request, String name, long otherwise) {
    String value = request.getParam(name);
    return value == null ? otherwise : Long.parseLong(value);
  }

  private Log log(String topic, long part) {
    return logs.computeIfAbsent(topic + "/" + part, name -> new Log());
  }

  private void append(int instance, HttpServerRequest request, Buffer body) {
    String topic = text(request, "Topic", "");
    if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
      reply(request, 403, new JsonObject());
      return;
    }
    List<byte[]> records = new ArrayList<>();
    long total = 0;
    for (int position = 0; position < body.length(); ) {
      int length = body.getInt(position);
      longestRecord = Math.max(longestRecord, length);
      if (length > RECORD_BYTES) {
        tooLong++;
        reply(request, 400, new JsonObject().put("Error", "a record of " + length + " bytes"));
        return;
      }
      records.add(body.getBytes(position + 4, position + 4 + length));
      position += 4 + length;
      total += length;
    }
    if (total > CALL_BYTES) {
      reply(request, 400, new JsonObject().put("Error", "a call of " + total + " bytes"));
      return;
    }
    JsonObject answer = new JsonObject();
    int status = append(instance, request, topic, records, answer);
    reply(request, status, answer);
  }

  private synchronized int append(
      int instance,
      HttpServerRequest request,
      String topic,
      List<byte[]> records,
      JsonObject answer) {
    Log log = log(topic, number(request, "part", 0));
    long at = number(request, "At", -1);
    String producer = request.getParam("Producer");
    Writer writer = null;
    long epoch = number(request, "epoch", 0);
    long sequence = number(request, "Sequence", 0);
    if (producer != null) {
      writer = log.writers.computeIfAbsent(producer, name -> new Writer());
      if (epoch < writer.epoch) {
        answer.put("Reason", "fenced");
        return 409;
      }
      if (epoch == writer.epoch && writer.answers.containsKey(sequence)) {
        answer.mergeIn(writer.answers.get(sequence));
        return 200;
      }
    }
    if (at >= 0 && at != log.end()) {
      answer.put("End", log.end());
      return 412;
    }
    if (writer != null) {
      if (epoch == writer.epoch && !records.isEmpty() && sequence != writer.sequence + 1) {
        answer.put("Reason", "seq").put("Sequence", writer.sequence + 1);
        return 409;
      }
      if (epoch > writer.epoch) {
        writer.epoch = epoch;
        writer.answers.clear();
        writer.sequence = sequence - 1;
      }
    }
    answer.put("Offset", log.end());
    records.forEach(each -> add(topic, log, each));
    answer.put("End", log.end());
    if (writer != null && !records.isEmpty()) {
      writer.sequence = sequence;
      writer.answers.put(sequence, answer.copy());
      if (writer.answers.size() > 5) {
        writer.answers.remove(writer.answers.keySet().iterator().next());
      }
    }
    if (at >= 0) {
      lastConditionalWriter = instance;
    }
    return 200;
  }

  private void add(String topic, Log log, byte[] record) {
    if (topic.startsWith("keyed.") && record.length > 0) {
      int length = record[0] & 0xff;
      String key = new String(record, 1, length, StandardCharsets.UTF_8);
      if (1 + length == record.length) {
        log.newest.remove(key);
      } else {
        byte[] value = new byte[record.length - 1 - length];
        System.arraycopy(record, 1 + length, value, 0, value.length);
        log.newest.put(key, value);
        log.offsets.put(key, log.end());
      }
    }
    log.records.add(record);
    log.bytes += record.length;
    while (log.bytes > PART_BYTES) {
      log.bytes -= log.records.remove().length;
      log.first++;
    }
  }

  /** Writes a key as the operator or a worker does; no value drops the key. */
  synchronized void put(String topic, String key, JsonObject value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    Buffer record = Buffer.buffer().appendByte((byte) name.length).appendBytes(name);
    if (value != null) {
      record.appendBuffer(value.toBuffer());
    }
    add(topic, log(topic, 0), record.getBytes());
  }

  private void read(HttpServerRequest request) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(number(request, "WaitMs", 0));
    poll(request, until);
  }

  private void poll(HttpServerRequest request, long until) {
    if (request.response().closed()) {
      return;
    }
    Buffer body = Buffer.buffer();
    synchronized (this) {
      Log log = log(text(request, "Topic", ""), number(request, "part", 0));
      long from = number(request, "From", 0);
      if (from < log.first) {
        reply(request, 410, new JsonObject().put("First", log.first));
        return;
      }
      body.appendLong(log.end()).appendLong(log.first);
      if (from < log.end()) {
        long skip = from - log.first;
        long most = number(request, "MaxKb", 1_024) * 1_024;
        for (byte[] each : log.records) {
          if (skip-- > 0) {
            continue;
          }
          if (body.length() > 16 && body.length() + each.length > most) {
            break;
          }
          body.appendInt(each.length).appendBytes(each);
        }
      }
    }
    if (body.length() == 16 && System.nanoTime() < until) {
      vertx.setTimer(4, timer -> poll(request, until));
    } else {
      request.response().end(body);
    }
  }

  private synchronized void newest(HttpServerRequest request) {
    Log log = log(text(request, "Topic", ""), number(request, "part", 0));
    String after = request.getParam("DependsOn");
    JsonArray items = new JsonArray();
    boolean more = false;
    long bytes = 0;
    for (Map.Entry<String, byte[]> each :
        (after == null ? log.newest : log.newest.tailMap(after, false)).entrySet()) {
      if (items.size() == 500 || !items.isEmpty() && bytes + each.getValue().length > 1 << 20) {
        more = true;
        break;
      }
      bytes += each.getValue().length;
      items.add(
          new JsonObject()
              .put("Key", each.getKey())
              .put("Value", Base64.getEncoder().encodeToString(each.getValue()))
              .put("Offset", log.offsets.get(each.getKey())));
    }
    reply(
        request,
        200,
        new JsonObject().put("items", items).put("HasMore", more).put("End", log.end()));
  }

  private synchronized void join(HttpServerRequest request, JsonObject body) {
    Group group = groups.computeIfAbsent(body.getString("group"), name -> new Group());
    long now = System.nanoTime() / 1_000_000;
    if (group.aliveUntil.values().removeIf(until -> until < now)) {
      group.generation++;
    }
    String member = body.getString("Member");
    if (group.aliveUntil.put(member, now + body.getLong("TtlMs")) == null) {
      group.generation++;
    }
    List<String> members = new ArrayList<>(group.aliveUntil.keySet());
    JsonArray rows = new JsonArray();
    for (Object topic : body.getJsonArray("Topics")) {
      for (int part = 0; part < PARTS; part++) {
        if (members.get(part % members.size()).equals(member)) {
          rows.add(new JsonArray().add(topic).add(part).add(0));
        }
      }
    }
    reply(
        request, 200, new JsonObject().put("Generation", group.generation).put("parts", rows));
  }

  private synchronized void leave(HttpServerRequest request, JsonObject body) {
    Group group = groups.computeIfAbsent(body.getString("group"), name -> new Group());
    if (group.aliveUntil.remove(body.getString("Member")) != null) {
      group.generation++;
    }
    reply(request, 200, new JsonObject());
  }
}
