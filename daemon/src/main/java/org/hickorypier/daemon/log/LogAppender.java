package org.hickorypier.daemon.log;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.hickorypier.daemon.log.LogAppendException.Fate;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;

/**
 * Appends records to one stream, many at a time, until they have been read back.
 *
 * <p>Invariants: one append is in flight at a time; records go out in the order in which they came;
 * a record once sent is repeated under the same id until the follower hands it on. All methods are
 * for the control thread.
 *
 * <p>Load: some thousand records a second from all instances over a few hundred appends a second.
 * What gathers while an append is in flight goes out with the next one. The queue is bounded, so an
 * outage of hours costs a bounded amount of memory and callers hear of it at once.
 *
 * <p>Subscribe the fold to the follower before this appender: then the fold's verdict on a record
 * stands when its {@code Uni} completes.
 *
 * @param <T> the family of records
 */
public final class LogAppender<T> implements LogConsumer<T> {

  private static final Logger LOGGER = System.getLogger(LogAppender.class.getName());

  private final LogService log;
  private final String stream;
  private final MessagePackCodec<T> codec;
  private final Function<T, String> idOf;
  private final TimerService timers;
  private final Executor control;
  private final AppendSettings settings;
  private final JitteredBackoff backoff;

  /** Records not yet read back, by id, in the order in which they came. */
  private final Map<String, PendingRecord> pending = new LinkedHashMap<>();

  private boolean closed;
  private boolean inFlight;
  private long currentAppend;
  private long earliestNextMillis;
  private long appends;
  private long repeatedRecords;
  private Cancellable call = () -> {};
  private TimerSubscription timer = () -> {};

  /**
   * Creates an appender.
   *
   * @param log the log service
   * @param stream the stream's name
   * @param codec the codec of its records
   * @param idOf returns a record's id
   * @param timers the time
   * @param control runs tasks on the control thread
   * @param random for the waits after failures
   * @param settings how to append
   */
  public LogAppender(
      LogService log,
      String stream,
      MessagePackCodec<T> codec,
      Function<T, String> idOf,
      TimerService timers,
      Executor control,
      RandomGenerator random,
      AppendSettings settings) {
    this.log = log;
    this.stream = stream;
    this.codec = codec;
    this.idOf = idOf;
    this.timers = timers;
    this.control = control;
    this.settings = settings;
    this.backoff = new JitteredBackoff(random, settings.firstBackoff(), settings.longestBackoff());
  }

  /**
   * Appends a record. It is queued at once, whether anybody subscribes to the result or not. A
   * record whose id is pending already joins the one before it.
   *
   * @param record the record
   * @return the offset at which it was read back, or a {@link LogAppendException}
   */
  public Uni<Long> append(T record) {
    String id = idOf.apply(record);
    PendingRecord known = pending.get(id);
    if (known != null) {
      return known.result();
    }
    if (closed) {
      return Uni.createFrom().failure(notAppended("closing"));
    }
    if (pending.size() >= settings.queuedRecords()) {
      return Uni.createFrom().failure(notAppended("too many records wait for the log"));
    }
    PendingRecord added = new PendingRecord(id, codec.encode(record));
    pending.put(id, added);
    sendOrWait();
    return added.result();
  }

  /**
   * Takes a record back if it was never sent, for instance because its deadline has passed.
   *
   * @param id the record's id
   * @return true if the record is not in the log and never will be
   */
  public boolean withdraw(String id) {
    PendingRecord record = pending.get(id);
    if (record == null || record.wasSent()) {
      return false;
    }
    pending.remove(id);
    record.fail(notAppended("taken back"));
    return true;
  }

  /**
   * Settles records which the fold knows by other ways than the follower: from a snapshot or from a
   * peer. Call it after such a state was taken into use.
   *
   * @param foldedAt returns the offset at which an id was folded, if it was
   */
  public void settleFrom(Function<String, OptionalLong> foldedAt) {
    for (PendingRecord record : List.copyOf(pending.values())) {
      foldedAt.apply(record.id()).ifPresent(offset -> settle(record.id(), offset));
    }
  }

  /** Sends nothing more. Pending records end with what is known of them. */
  public void close() {
    closed = true;
    giveUpAppend();
    for (PendingRecord record : List.copyOf(pending.values())) {
      pending.remove(record.id());
      record.fail(
          record.wasSent()
              ? new LogAppendException(Fate.UNKNOWN, "log: closed before it was read back")
              : notAppended("closing"));
    }
  }

  /**
   * Returns how many records wait to be sent or read back.
   *
   * @return the count
   */
  public int pendingCount() {
    return pending.size();
  }

  /**
   * Returns how many appends were sent.
   *
   * @return the count since the start of the process
   */
  public long appendCount() {
    return appends;
  }

  /**
   * Returns how many records were sent again.
   *
   * @return the count since the start of the process
   */
  public long repeatedRecordCount() {
    return repeatedRecords;
  }

  @Override
  public void onRecord(long offset, T record) {
    settle(idOf.apply(record), offset);
    repeatUpTo(offset);
  }

  @Override
  public void onUnreadable(long offset, byte[] data, UndecodableException reason) {
    repeatUpTo(offset);
  }

  private void settle(String id, long offset) {
    PendingRecord record = pending.remove(id);
    if (record != null) {
      record.complete(offset);
    }
  }

  // An append was answered with an offset, but another record stands there: the log has lost what
  // it acknowledged. The caller would wait for ever. Its record is still the first of the pending
  // ones, since the others went out after it, so a look at the head is enough.
  private void repeatUpTo(long offset) {
    boolean repeat = false;
    for (PendingRecord record : pending.values()) {
      if (!record.isExpectedBy(offset)) {
        break;
      }
      record.repeat();
      repeat = true;
    }
    if (repeat) {
      sendOrWait();
    }
  }

  private void sendOrWait() {
    if (inFlight || closed) {
      return;
    }
    timer.cancel();
    List<PendingRecord> batch = nextBatch();
    if (batch.isEmpty()) {
      return;
    }
    long wait = earliestNextMillis - timers.nowMillis();
    if (wait > 0) {
      timer = timers.after(Duration.ofMillis(wait), this::sendOrWait);
    } else {
      send(batch);
    }
  }

  private List<PendingRecord> nextBatch() {
    List<PendingRecord> batch = new ArrayList<>();
    int bytes = 0;
    for (PendingRecord record : pending.values()) {
      if (!record.isToBeSent()) {
        continue;
      }
      bytes += record.data().length;
      boolean full = batch.size() >= settings.batchRecords() || bytes > settings.batchBytes();
      if (full && !batch.isEmpty()) {
        break;
      }
      batch.add(record);
    }
    return batch;
  }

  private void send(List<PendingRecord> batch) {
    inFlight = true;
    earliestNextMillis = timers.nowMillis() + settings.interval().toMillis();
    appends++;
    for (PendingRecord record : batch) {
      repeatedRecords += record.wasSent() ? 1 : 0;
      record.markSent();
    }
    long append = ++currentAppend;
    // The answer may never come. The append then counts as failed, its records are repeated, and a
    // late answer is dropped by its number.
    timer.cancel();
    timer = timers.after(settings.answerTimeout(), () -> onFailure(append, batch, "no answer"));
    call =
        log.append(stream, batch.stream().map(PendingRecord::data).toList())
            .subscribe()
            .with(
                offset -> control.execute(() -> onAppended(append, batch, offset)),
                error -> control.execute(() -> onFailure(append, batch, error.getMessage())));
  }

  // The answer alone settles nothing: it says neither that the record was the first under its id
  // nor what the fold makes of it. The record stays pending until it is read back.
  private void onAppended(long append, List<PendingRecord> batch, long firstOffset) {
    if (append != currentAppend) {
      return;
    }
    giveUpAppend();
    backoff.reset();
    for (int index = 0; index < batch.size(); index++) {
      batch.get(index).expectAt(firstOffset + index);
    }
    sendOrWait();
  }

  // An append that failed may have taken effect. During the wait the follower reads back what did;
  // only the rest is repeated. A repeat of what did after all is folded as a duplicate.
  private void onFailure(long append, List<PendingRecord> batch, String message) {
    if (append != currentAppend) {
      return;
    }
    giveUpAppend();
    LOGGER.log(
        Level.WARNING,
        "log: {0}: append of {1} records failed; {2}",
        stream,
        batch.size(),
        message);
    earliestNextMillis = timers.nowMillis() + backoff.next().toMillis();
    batch.forEach(PendingRecord::repeat);
    sendOrWait();
  }

  private void giveUpAppend() {
    currentAppend++;
    timer.cancel();
    call.cancel();
    inFlight = false;
  }

  private LogAppendException notAppended(String reason) {
    return new LogAppendException(Fate.NOT_APPENDED, "log: " + stream + ": " + reason);
  }
}
