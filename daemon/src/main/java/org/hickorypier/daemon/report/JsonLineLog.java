package org.hickorypier.daemon.report;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.EventLog;

/**
 * Writes each event as one line with a JSON object.
 *
 * <p>Each kind of event has a limit of lines per second, and pending lines are held in a bounded
 * queue. Dropped lines are counted, and their number is added to the next line of the same kind. A
 * separate thread writes the lines, so that a stalled reader blocks no caller. Thread-safe.
 */
public final class JsonLineLog implements EventLog, AutoCloseable {

  /**
   * The limit for lines of one kind; a cell starts and ends about 300 tasks per second at its peak.
   */
  private static final int MAX_LINES_PER_SECOND = 400;

  /** About 1 MB of lines, which bounds the memory used while a reader stalls. */
  private static final int MAX_QUEUED_LINES = 4_000;

  /**
   * The writer collects lines for this time, because a wake-up for each line would cost more than
   * the line. It waits without a limit for the first one, because an idle instance writes none.
   */
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
  private final CountDownLatch closeRequested = new CountDownLatch(1);

  /**
   * Creates the log and starts its writer thread.
   *
   * @param instance the instance's name, which each line contains
   * @param wallClockMillis the wall clock, in milliseconds since 1970
   * @param stream the destination of the lines
   */
  public JsonLineLog(String instance, LongSupplier wallClockMillis, OutputStream stream) {
    this.instance = instance;
    this.wallClockMillis = wallClockMillis;
    this.stream = stream;
    this.writer = new Thread(this::runWriter, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void event(String part, String event, Object... fields) {
    long now = wallClockMillis.getAsLong();
    synchronized (queue) {
      RateLimit rateLimit = rateLimits.computeIfAbsent(part + ' ' + event, kind -> new RateLimit());
      if (!rateLimit.tryAcquire(now) || queue.size() >= MAX_QUEUED_LINES) {
        rateLimit.dropped++;
        droppedLines++;
        return;
      }
      queue.add(formatLine(now, part, event, fields, rateLimit.takeDropped()));
      if (queue.size() == 1) {
        queue.notifyAll();
      }
    }
  }

  /**
   * Returns the number of lines dropped since the start.
   *
   * @return the number
   */
  public long droppedLines() {
    synchronized (queue) {
      return droppedLines;
    }
  }

  /** Writes the queued lines and stops the writer thread. */
  @Override
  public void close() {
    closed = true;
    closeRequested.countDown();
    synchronized (queue) {
      queue.notifyAll();
    }
    try {
      writer.join(WRITE_PERIOD_MILLIS);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
    }
  }

  private void runWriter() {
    try {
      while (!closed) {
        awaitLine();
        awaitNextWrite();
        writeQueued();
      }
      writeQueued();
    } catch (IOException error) {
      // The reader has closed the stream, so the error cannot be reported. Lines are dropped and
      // counted.
      closed = true;
    }
  }

  private void awaitLine() {
    synchronized (queue) {
      try {
        while (queue.isEmpty() && !closed) {
          queue.wait();
        }
      } catch (InterruptedException error) {
        // Nobody interrupts the writer but the end of the process; a final write follows.
        closed = true;
      }
    }
  }

  /** Waits for the next write, so that the lines of a period share one; ends early at the close. */
  private void awaitNextWrite() {
    try {
      closeRequested.await(WRITE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException error) {
      // Nobody interrupts the writer but the end of the process; a final write follows.
      closed = true;
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

  private String formatLine(long now, String part, String event, Object[] fields, long dropped) {
    StringBuilder line = new StringBuilder("{\"time\":").append(now);
    appendField(line, "instance", instance);
    appendField(line, "part", part);
    appendField(line, "event", event);
    for (int index = 0; index + 1 < fields.length; index += 2) {
      appendField(line, String.valueOf(fields[index]), fields[index + 1]);
    }
    if (dropped > 0) {
      appendField(line, "left_out_before", dropped);
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

  /** Limits the lines of one kind per second, and counts the dropped ones. */
  private static final class RateLimit {

    private long currentSecond;
    private int linesInSecond;
    private long dropped;

    boolean tryAcquire(long now) {
      long second = now / MILLIS_PER_SECOND;
      if (second != currentSecond) {
        currentSecond = second;
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
