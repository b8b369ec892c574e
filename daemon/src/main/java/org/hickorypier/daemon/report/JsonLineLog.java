package org.hickorypier.daemon.report;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.EventLog;

/**
 * Writes one JSON object a line for each event.
 *
 * <p>Bounded twice: each kind of event has a budget of lines a second, and lines wait in a bounded
 * queue; what is left out is counted and told with the next line of its kind. A thread of its own
 * writes, so that a reader that stalls holds up nobody. Thread safe.
 */
public final class JsonLineLog implements EventLog, AutoCloseable {

  /**
   * Lines of one kind in one second; a cell starts and ends some 300 tasks a second at its peak.
   */
  private static final int MAX_LINES_PER_SECOND = 400;

  /** About 1 MB of lines; a stalled reader costs no more memory than that. */
  private static final int MAX_QUEUED_LINES = 4_000;

  /** Waking the writer for each line would cost more than the line. */
  private static final long WRITE_PERIOD_MILLIS = 100;

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int FIRST_PRINTABLE = 0x20;

  private final LongSupplier wallClockMillis;
  private final OutputStream stream;
  private final String instance;
  private final Queue<String> queue = new ArrayDeque<>();
  private final Map<String, RateLimit> rateLimits = new HashMap<>();
  private final Thread writer;
  private long droppedLines;
  private volatile boolean closed;

  /**
   * Starts the writer.
   *
   * @param instance the instance's name, in each line
   * @param wallMillis the time of day, milliseconds since 1970
   * @param stream where the lines go
   */
  public JsonLineLog(String instance, LongSupplier wallMillis, OutputStream stream) {
    this.instance = instance;
    this.wallClockMillis = wallMillis;
    this.stream = stream;
    this.writer = new Thread(this::runWriter, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void event(String part, String event, Object... fields) {
    long now = wallClockMillis.getAsLong();
    synchronized (queue) {
      RateLimit budget = rateLimits.computeIfAbsent(part + ' ' + event, kind -> new RateLimit());
      if (!budget.tryAcquire(now) || queue.size() >= MAX_QUEUED_LINES) {
        budget.dropped++;
        droppedLines++;
        return;
      }
      queue.add(formatLine(now, part, event, fields, budget.takeDropped()));
    }
  }

  /**
   * Returns how many lines were left out so far.
   *
   * @return the number
   */
  public long droppedLines() {
    synchronized (queue) {
      return droppedLines;
    }
  }

  /** Writes what is queued, and ends the writer. */
  @Override
  public void close() {
    closed = true;
    writer.interrupt();
    try {
      writer.join(WRITE_PERIOD_MILLIS);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
    }
  }

  private void runWriter() {
    try {
      while (!closed) {
        awaitNextWrite();
        writeQueued();
      }
      writeQueued();
    } catch (IOException error) {
      // The reader is gone for good: there is nobody left to tell. Lines are dropped and counted.
      closed = true;
    }
  }

  private static void awaitNextWrite() {
    try {
      Thread.sleep(WRITE_PERIOD_MILLIS);
    } catch (InterruptedException error) {
      // Closed: one last write follows.
      return;
    }
  }

  private void writeQueued() throws IOException {
    StringBuilder lines = new StringBuilder();
    synchronized (queue) {
      while (!queue.isEmpty()) {
        lines.append(queue.remove()).append('\n');
      }
    }
    if (lines.length() > 0) {
      stream.write(lines.toString().getBytes(StandardCharsets.UTF_8));
      stream.flush();
    }
  }

  private String formatLine(long now, String part, String event, Object[] fields, long leftOut) {
    StringBuilder line = new StringBuilder("{\"time\":").append(now);
    appendField(line, "instance", instance);
    appendField(line, "part", part);
    appendField(line, "event", event);
    for (int index = 0; index + 1 < fields.length; index += 2) {
      appendField(line, String.valueOf(fields[index]), fields[index + 1]);
    }
    if (leftOut > 0) {
      appendField(line, "left_out_before", leftOut);
    }
    return line.append('}').toString();
  }

  private static void appendField(StringBuilder line, String name, Object value) {
    line.append(",\"").append(name).append("\":");
    if (value instanceof Number || value instanceof Boolean) {
      line.append(value);
    } else {
      appendQuoted(line, String.valueOf(value));
    }
  }

  private static void appendQuoted(StringBuilder line, String text) {
    line.append('"');
    for (int index = 0; index < text.length(); index++) {
      char next = text.charAt(index);
      if (next == '"' || next == '\\') {
        line.append('\\').append(next);
      } else if (next < FIRST_PRINTABLE) {
        line.append(' ');
      } else {
        line.append(next);
      }
    }
    line.append('"');
  }

  /** The lines of one kind in the present second. */
  private static final class RateLimit {

    private long currentSecond;
    private int linesInSecond;
    private long dropped;

    boolean tryAcquire(long now) {
      long present = now / MILLIS_PER_SECOND;
      if (present != currentSecond) {
        currentSecond = present;
        linesInSecond = 0;
      }
      linesInSecond++;
      return linesInSecond <= MAX_LINES_PER_SECOND;
    }

    long takeDropped() {
      long taken = dropped;
      dropped = 0;
      return taken;
    }
  }
}
