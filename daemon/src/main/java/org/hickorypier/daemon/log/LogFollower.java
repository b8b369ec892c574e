package org.hickorypier.daemon.log;

import io.smallrye.mutiny.subscription.Cancellable;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;
import org.hickorypier.platform.log.LogEntry;
import org.hickorypier.platform.log.LogPage;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.platform.log.OffsetExpiredException;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;

/**
 * Follows one stream of the log and hands its records to the consumers, in order.
 *
 * <p>Invariants: one read is in flight at a time; the next offset never falls except by {@link
 * #seek} or by expiry; no record is passed over in silence. All methods are for the control thread.
 *
 * @param <T> the family of records
 */
public final class LogFollower<T> {

  private static final Logger LOGGER = System.getLogger(LogFollower.class.getName());

  private final LogService log;
  private final String stream;
  private final MessagePackCodec<T> codec;
  private final TimerService timers;
  private final Executor control;
  private final FollowSettings settings;
  private final JitteredBackoff backoff;
  private final List<LogConsumer<T>> consumers = new ArrayList<>();

  private boolean running;
  private long nextOffset;
  private boolean caughtUp;
  private boolean heard;
  private long lastHeardMillis;
  private long answerDueMillis = Long.MAX_VALUE;
  private long unreadable;
  private long failures;
  // Each read has a number. A late answer to a read that was given up carries an old one and is
  // dropped; without that, two reads would be in flight and records would be handed on twice.
  private long currentRead;
  private Cancellable call = () -> {};
  private TimerSubscription timer = () -> {};

  /**
   * Creates a follower; it does nothing until started.
   *
   * @param log the log service
   * @param stream the stream's name
   * @param codec the codec of its records
   * @param timers the time
   * @param control runs tasks on the control thread
   * @param random for the waits after failures
   * @param settings how to follow
   */
  public LogFollower(
      LogService log,
      String stream,
      MessagePackCodec<T> codec,
      TimerService timers,
      Executor control,
      RandomGenerator random,
      FollowSettings settings) {
    this.log = log;
    this.stream = stream;
    this.codec = codec;
    this.timers = timers;
    this.control = control;
    this.settings = settings;
    this.backoff = new JitteredBackoff(random, settings.firstBackoff(), settings.longestBackoff());
  }

  /**
   * Adds a consumer. Consumers get each record in the order in which they were added.
   *
   * @param consumer the consumer
   */
  public void subscribe(LogConsumer<T> consumer) {
    consumers.add(consumer);
  }

  /**
   * Starts to read.
   *
   * @param from the first offset wanted
   */
  public void start(long from) {
    running = true;
    nextOffset = from;
    read();
  }

  /** Stops reading. Answers still on their way are dropped. */
  public void stop() {
    running = false;
    giveUpRead();
  }

  /**
   * Goes on at another offset, for instance after that of a snapshot. Records of the page at hand
   * that have not been handed on are dropped and read again if wanted.
   *
   * @param offset the offset to read next
   */
  public void seek(long offset) {
    if (offset == nextOffset) {
      return;
    }
    nextOffset = offset;
    caughtUp = false;
    if (running) {
      read();
    }
  }

  /**
   * Returns the offset that is read next; all before it were handed on or have expired.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Tells whether the end of the stream was reached and all since then was handed on.
   *
   * @return true if so; an outage does not change it, see {@link #millisSinceHeard}
   */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /**
   * Returns for how long this instance may have missed records: the time since it sent the last
   * read that was answered to the end of the stream.
   *
   * <p>The time of sending counts, not that of the answer. A process that was paused with the
   * answer in its socket would otherwise take an old answer for a fresh one.
   *
   * @return milliseconds, {@link Long#MAX_VALUE} if the end was never reached
   */
  public long millisSinceHeard() {
    return heard ? timers.nowMillis() - lastHeardMillis : Long.MAX_VALUE;
  }

  /**
   * Returns for how long the log has owed an answer. Unlike {@link #millisSinceHeard} this does not
   * grow while the log holds a read as it was asked to, with nothing to return.
   *
   * @return milliseconds, 0 while no answer is due
   */
  public long millisOverdue() {
    return Math.max(0, timers.nowMillis() - answerDueMillis);
  }

  /**
   * Returns how many records could not be read.
   *
   * @return the count since the start of the process
   */
  public long unreadableCount() {
    return unreadable;
  }

  /**
   * Returns how many reads have failed.
   *
   * @return the count since the start of the process
   */
  public long failureCount() {
    return failures;
  }

  private void giveUpRead() {
    currentRead++;
    timer.cancel();
    call.cancel();
  }

  private void read() {
    giveUpRead();
    long read = currentRead;
    long sentMillis = timers.nowMillis();
    Duration wait = caughtUp ? settings.longPoll() : Duration.ZERO;
    // A read that follows a failed one is due since that was.
    answerDueMillis = Math.min(answerDueMillis, sentMillis + wait.toMillis());
    // A connection can go silent for good. The service answers within the wait it was given, so an
    // answer that is overdue by the margin is not coming; a new read goes out on a new call.
    timer =
        timers.after(
            settings.longPoll().plus(settings.answerMargin()),
            () -> onFailure(read, "no answer", null));
    call =
        log.read(stream, nextOffset, settings.pageRecords(), wait)
            .subscribe()
            .with(
                page -> control.execute(() -> onPage(read, sentMillis, page)),
                error -> control.execute(() -> onFailure(read, error.getMessage(), error)));
  }

  private void onPage(long read, long sentMillis, LogPage page) {
    if (read != currentRead) {
      return;
    }
    if (!isInOrder(page)) {
      onFailure(read, "offsets went back, next is " + page.nextOffset(), null);
      return;
    }
    for (LogEntry entry : page.records()) {
      nextOffset = entry.offset() + 1;
      handOn(entry);
      if (read != currentRead) {
        return; // stopped, or sought elsewhere
      }
    }
    nextOffset = page.nextOffset();
    answerDueMillis = Long.MAX_VALUE;
    backoff.reset();
    if (page.records().size() < settings.pageRecords()) {
      caughtUp = true;
      heard = true;
      lastHeardMillis = sentMillis;
    }
    read();
  }

  // A log that was restored from an old copy hands out offsets a second time. Folding on would mix
  // two histories; so nothing is taken, the log counts as not heard, and the freshness bound ends
  // the taking of new work.
  private boolean isInOrder(LogPage page) {
    long least = nextOffset;
    for (LogEntry entry : page.records()) {
      if (entry.offset() < least) {
        return false;
      }
      least = entry.offset() + 1;
    }
    return page.nextOffset() >= least;
  }

  private void handOn(LogEntry entry) {
    T decoded;
    try {
      decoded = codec.decode(entry.data());
    } catch (UndecodableException error) {
      unreadable++;
      LOGGER.log(
          Level.ERROR,
          "log: {0} offset {1}: cannot be read here; {2}",
          stream,
          entry.offset(),
          error.getMessage());
      consumers.forEach(consumer -> consumer.onUnreadable(entry.offset(), entry.data(), error));
      return;
    }
    consumers.forEach(consumer -> consumer.onRecord(entry.offset(), decoded));
  }

  private void onFailure(long read, String message, Throwable error) {
    if (read != currentRead) {
      return;
    }
    if (error instanceof OffsetExpiredException expired && expired.oldestOffset() > nextOffset) {
      onExpired(expired.oldestOffset());
      return;
    }
    failures++;
    giveUpRead();
    LOGGER.log(Level.WARNING, "log: {0}: read failed; {1}", stream, message);
    timer = timers.after(backoff.next(), this::read);
  }

  private void onExpired(long oldestOffset) {
    long wanted = nextOffset;
    LOGGER.log(
        Level.WARNING,
        "log: {0}: offset {1} has expired, reading from {2}",
        stream,
        wanted,
        oldestOffset);
    nextOffset = oldestOffset;
    caughtUp = false;
    giveUpRead();
    consumers.forEach(consumer -> consumer.onExpired(wanted, oldestOffset));
    if (running && nextOffset == oldestOffset) {
      read();
    }
  }
}
