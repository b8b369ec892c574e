package org.hickorypier.standins.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.hickorypier.platform.log.LogEntry;
import org.hickorypier.platform.log.LogPage;
import org.hickorypier.platform.log.LogRange;
import org.hickorypier.platform.log.OffsetExpiredException;

/**
 * The log service's streams, in memory.
 *
 * <p>Invariants: offsets of a stream rise by one from 0 and are never given twice; records expire
 * from the oldest. Thread safe. Reads the clock only through the supplier.
 */
public final class InMemoryLog {

  private record Stored(LogEntry entry, long atMillis) {}

  private static final class Stream {
    private final TreeMap<Long, Stored> records = new TreeMap<>();
    private final List<Runnable> watchers = new ArrayList<>();
    private long nextOffset;
  }

  private final LongSupplier clock;
  private final LogRetention retention;
  private final Map<String, Stream> streams = new HashMap<>();

  /**
   * Creates an empty log.
   *
   * @param clock the time in milliseconds
   * @param retention how long records are kept
   */
  public InMemoryLog(LongSupplier clock, LogRetention retention) {
    this.clock = clock;
    this.retention = retention;
  }

  /**
   * Appends records, all of them.
   *
   * @param name the stream
   * @param records the records
   * @return the first record's offset
   */
  public long append(String name, List<byte[]> records) {
    List<Runnable> watchers;
    long first;
    synchronized (this) {
      Stream stream = streams.computeIfAbsent(name, unknown -> new Stream());
      long now = clock.getAsLong();
      first = stream.nextOffset;
      for (byte[] record : records) {
        long offset = stream.nextOffset++;
        stream.records.put(offset, new Stored(new LogEntry(offset, record), now));
      }
      expire(stream);
      watchers = List.copyOf(stream.watchers);
      stream.watchers.clear();
    }
    watchers.forEach(Runnable::run);
    return first;
  }

  /**
   * Reads records.
   *
   * @param name the stream
   * @param from the first offset wanted
   * @param limit the largest number of records
   * @return the records that are there
   * @throws OffsetExpiredException if the first one is no longer kept
   */
  public synchronized LogPage read(String name, long from, int limit)
      throws OffsetExpiredException {
    LogRange range = range(name);
    if (from < range.oldestOffset()) {
      throw new OffsetExpiredException(name, from, range.oldestOffset());
    }
    Stream stream = streams.get(name);
    if (stream == null) {
      return new LogPage(List.of(), from);
    }
    List<LogEntry> page =
        stream.records.tailMap(from).values().stream().limit(limit).map(Stored::entry).toList();
    return new LogPage(page, from + page.size());
  }

  /**
   * Tells what a stream holds.
   *
   * @param name the stream
   * @return its range; 0 to 0 if it is unknown
   */
  public synchronized LogRange range(String name) {
    Stream stream = streams.get(name);
    if (stream == null) {
      return new LogRange(0, 0);
    }
    expire(stream);
    long oldest = stream.records.isEmpty() ? stream.nextOffset : stream.records.firstKey();
    return new LogRange(oldest, stream.nextOffset);
  }

  /**
   * Runs a task after the next append to a stream.
   *
   * @param name the stream
   * @param task what to run, once
   */
  public synchronized void watch(String name, Runnable task) {
    streams.computeIfAbsent(name, unknown -> new Stream()).watchers.add(task);
  }

  /**
   * Forgets a task given to {@link #watch}.
   *
   * @param name the stream
   * @param task the task
   */
  public synchronized void unwatch(String name, Runnable task) {
    streams.computeIfAbsent(name, unknown -> new Stream()).watchers.remove(task);
  }

  private void expire(Stream stream) {
    long oldestKept = clock.getAsLong() - retention.ageMillis();
    while (!stream.records.isEmpty()
        && (stream.records.size() > retention.records()
            || stream.records.firstEntry().getValue().atMillis() < oldestKept)) {
      stream.records.pollFirstEntry();
    }
  }
}
