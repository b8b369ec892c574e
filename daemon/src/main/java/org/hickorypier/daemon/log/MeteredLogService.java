package org.hickorypier.daemon.log;

import io.micrometer.core.instrument.MeterRegistry;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import org.hickorypier.platform.log.LogEntry;
import org.hickorypier.platform.log.LogPage;
import org.hickorypier.platform.log.LogRange;
import org.hickorypier.platform.log.LogService;

/**
 * Counts the calls to the log, and the records and their bytes, by stream.
 *
 * <p>Thread safe, as the registry is. Bytes are those of the records, without HTTP's own.
 */
public final class MeteredLogService implements LogService {

  private static final String STREAM = "stream";
  private static final String CALL = "call";
  private static final String APPEND = "append";
  private static final String READ = "read";

  private final LogService log;
  private final MeterRegistry registry;

  /**
   * Wraps a log.
   *
   * @param log the log
   * @param registry where the counters are kept
   */
  public MeteredLogService(LogService log, MeterRegistry registry) {
    this.log = log;
    this.registry = registry;
  }

  @Override
  public Uni<Long> append(String stream, List<byte[]> records) {
    count("calls", stream, APPEND, 1);
    count("records", stream, APPEND, records.size());
    count("bytes", stream, APPEND, records.stream().mapToLong(data -> data.length).sum());
    return log.append(stream, records);
  }

  @Override
  public Uni<LogPage> read(String stream, long from, int limit, Duration wait) {
    count("calls", stream, READ, 1);
    return log.read(stream, from, limit, wait).onItem().invoke(page -> countRead(stream, page));
  }

  @Override
  public Uni<LogRange> range(String stream) {
    return log.range(stream);
  }

  private void countRead(String stream, LogPage page) {
    List<LogEntry> records = page.records();
    count("records", stream, READ, records.size());
    count("bytes", stream, READ, records.stream().mapToLong(entry -> entry.data().length).sum());
  }

  private void count(String what, String stream, String call, long amount) {
    registry.counter("hickorypier.log." + what, STREAM, stream, CALL, call).increment(amount);
  }
}
