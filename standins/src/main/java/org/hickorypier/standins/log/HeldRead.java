package org.hickorypier.standins.log;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.hickorypier.platform.log.LogPage;
import org.hickorypier.platform.log.OffsetExpiredException;
import org.hickorypier.standins.fault.Delays;

/**
 * One read that is held until there is something to return or its wait is over.
 *
 * <p>Thread safe. Exactly one of the two consumers is called, once.
 */
public final class HeldRead {

  private final InMemoryLog log;
  private final String stream;
  private final long from;
  private final int limit;
  private final Consumer<LogPage> found;
  private final Consumer<OffsetExpiredException> expired;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final Runnable watcher = this::end;

  /**
   * Creates the read.
   *
   * @param log the streams
   * @param stream the stream to read
   * @param from the first offset wanted
   * @param limit the largest number of records
   * @param found receives the records
   * @param expired receives the refusal
   */
  public HeldRead(
      InMemoryLog log,
      String stream,
      long from,
      int limit,
      Consumer<LogPage> found,
      Consumer<OffsetExpiredException> expired) {
    this.log = log;
    this.stream = stream;
    this.from = from;
    this.limit = limit;
    this.found = found;
    this.expired = expired;
  }

  /**
   * Begins to read.
   *
   * @param waitMillis how long to hold the call
   * @param delays runs the end of the wait
   */
  public void begin(long waitMillis, Delays delays) {
    if (waitMillis <= 0) {
      end();
      return;
    }
    log.watch(stream, watcher);
    if (log.range(stream).nextOffset() != from) {
      end();
    } else {
      delays.after(waitMillis, watcher);
    }
  }

  private void end() {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    log.unwatch(stream, watcher);
    LogPage page;
    try {
      page = log.read(stream, from, limit);
    } catch (OffsetExpiredException error) {
      expired.accept(error);
      return;
    }
    found.accept(page);
  }
}
