package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.submission.SubmissionCodec;
import org.hickorypier.daemon.time.PauseGuard;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.platform.store.StoreError;
import org.hickorypier.platform.store.StoreException;

/**
 * Writes the owner's journal: a few appends under way, and all that waits goes with the next.
 *
 * <p>Invariants: an append whose fate is unknown is repeated unchanged, under the same sequence
 * number, until the store tells what became of it; nothing is written after a successor has fenced
 * the partition. Each success is a proof that no successor had done so when it was sent. Belongs to
 * the control thread.
 */
final class JournalWriter {

  private static final String PART = "journal";

  /** What comes within this time shares one append; the store charges and limits calls. */
  private static final Duration LINGER = Duration.ofMillis(8);

  private static final Duration RETRY = Duration.ofMillis(80);

  /** Without other appends one is made after this time, as a proof of ownership. */
  private static final long PROOF_PERIOD_MILLIS = 1_000;

  /**
   * Appends under way at once. The store answers after some 4 ms, and 0.2 s on its slowest days;
   * with one at a time each write would wait for up to two answers. The store repeats the answers
   * of the last five.
   */
  private static final int MOST_UNDER_WAY = 3;

  /** Well under the largest call that the store takes, 2 MB. */
  private static final int BATCH_BYTES = 1 << 20;

  private final StoreClient store;
  private final TimerService timers;
  private final PauseGuard pauses;
  private final EventLog log;
  private final int epoch;
  private final Callbacks callbacks;
  private final Map<String, Submission> specs = new LinkedHashMap<>();
  private final Set<Submission> progress = new LinkedHashSet<>();
  private final Map<String, byte[]> others = new LinkedHashMap<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private final AppendTimeout timeout = new AppendTimeout();
  private long sequence;
  private final List<Batch> underWay = new ArrayList<>();
  private boolean scheduled;
  private boolean stopped;
  private boolean unavailable;
  private long unavailableSince;
  private long provenAt;
  private long answeredAt;
  private long restsUntil;

  /**
   * Creates the writer.
   *
   * @param sequence the number of the last append of this epoch
   */
  JournalWriter(
      StoreClient store,
      TimerService timers,
      PauseGuard pauses,
      EventLog log,
      int epoch,
      long sequence,
      Callbacks callbacks) {
    this.store = store;
    this.timers = timers;
    this.pauses = pauses;
    this.log = log;
    this.epoch = epoch;
    this.sequence = sequence;
    this.callbacks = callbacks;
    this.provenAt = timers.nowMillis();
  }

  /** What the writer tells its owner. */
  interface Callbacks {

    /** A submission was written as it was at a version. */
    void written(Submission submission, long version);

    /** A successor has taken over. */
    void fenced(String reason);
  }

  void save(Submission submission) {
    if (!submission.durable()) {
      specs.put(submission.spec().id(), submission);
    }
    progress.add(submission);
    schedule();
  }

  void put(String key, byte[] value) {
    others.put(key, value);
    schedule();
  }

  void afterSave(Runnable action) {
    if (underWay.isEmpty() && specs.isEmpty() && progress.isEmpty() && others.isEmpty()) {
      action.run();
    } else {
      waiting.add(action);
      schedule();
    }
  }

  /** Tells whether no successor can have taken over more than some time ago. */
  boolean proven(long withinMillis) {
    return !stopped && pauses.unbroken(provenAt) && timers.nowMillis() - provenAt <= withinMillis;
  }

  /** Returns for how long the store has refused or left unanswered the present append. */
  long unavailableMillis() {
    return unavailable ? timers.nowMillis() - unavailableSince : 0;
  }

  void tick() {
    boolean old = timers.nowMillis() - provenAt > PROOF_PERIOD_MILLIS;
    if (!stopped && underWay.isEmpty() && (old || !pauses.unbroken(provenAt))) {
      put(JournalKeys.PROOF, new byte[] {1});
    }
  }

  /**
   * Begins no append for some time.
   *
   * <p>Load: an owner writes some 50 times a second, and a successor claims the cell on condition
   * that the journal ends where it has read to. Harm prevented: the claim fails until it fences the
   * owner first, 0.3 s without a start in the cell, and all that wait for an append ask again.
   *
   * @param millis the time, in milliseconds
   */
  void rest(long millis) {
    restsUntil = timers.nowMillis() + millis;
  }

  /** Ends the rest, and asks the store for a proof that no successor has taken over. */
  void resume() {
    restsUntil = 0;
    scheduled = false;
    put(JournalKeys.PROOF, new byte[] {1});
  }

  void stop() {
    stopped = true;
  }

  private void schedule() {
    if (!scheduled && !stopped && underWay.size() < MOST_UNDER_WAY) {
      scheduled = true;
      timers.after(LINGER, this::flush);
    }
  }

  private void flush() {
    scheduled = false;
    if (stopped || underWay.size() >= MOST_UNDER_WAY) {
      return;
    }
    long rest = restsUntil - timers.nowMillis();
    if (rest > 0) {
      scheduled = true;
      timers.after(Duration.ofMillis(rest), this::flush);
      return;
    }
    List<KeyedRecord> records = new ArrayList<>();
    others.forEach((key, value) -> records.add(new KeyedRecord(key, value)));
    others.clear();
    final Map<Submission, Long> versions = takeChanged(records);
    if (records.isEmpty()) {
      settleWaiting();
      return;
    }
    // Actions wait for all that was saved before them, so they stay while something is left over.
    List<Runnable> actions = new ArrayList<>();
    if (progress.isEmpty()) {
      actions.addAll(waiting);
      waiting.clear();
    }
    sequence++;
    Append append =
        new Append(
            JournalKeys.TOPIC,
            JournalKeys.PARTITION,
            records,
            OptionalLong.empty(),
            JournalKeys.PRODUCER,
            epoch,
            sequence);
    Batch batch = new Batch(append, versions, actions);
    underWay.add(batch);
    send(batch);
    scheduleIfNeeded();
  }

  /** There is nothing to write: all that the actions wait for is under way, or written already. */
  private void settleWaiting() {
    List<Runnable> actions = List.copyOf(waiting);
    waiting.clear();
    if (underWay.isEmpty()) {
      actions.forEach(Runnable::run);
    } else {
      underWay.get(underWay.size() - 1).actions.addAll(actions);
    }
  }

  private Map<Submission, Long> takeChanged(List<KeyedRecord> records) {
    Map<Submission, Long> versions = new HashMap<>();
    int bytes = 0;
    var changed = progress.iterator();
    while (changed.hasNext() && bytes < BATCH_BYTES) {
      Submission submission = changed.next();
      changed.remove();
      String id = submission.spec().id();
      versions.put(submission, submission.version());
      if (specs.remove(id) != null) {
        byte[] spec = SubmissionCodec.encode(submission.spec(), submission.number());
        bytes += spec.length;
        records.add(new KeyedRecord(JournalKeys.spec(id), spec));
      }
      if (submission.needsSaving()) {
        byte[] value = SubmissionCodec.encodeProgress(submission.progress());
        bytes += value.length;
        records.add(new KeyedRecord(JournalKeys.progress(id), value));
      }
    }
    return versions;
  }

  private void scheduleIfNeeded() {
    if (!progress.isEmpty() || !others.isEmpty() || !waiting.isEmpty()) {
      schedule();
    }
  }

  private void send(Batch batch) {
    long now = timers.nowMillis();
    batch.attempts++;
    batch.sentAt = batch.attempts == 1 ? now : batch.sentAt;
    batch.lastSentAt = now;
    store
        .append(batch.append, timeout.millis(batch.attempts))
        .onComplete(end -> succeeded(batch), error -> failed(batch, (StoreException) error));
  }

  private void succeeded(Batch batch) {
    batch.done = true;
    answeredAt = timers.nowMillis();
    if (batch.attempts == 1) {
      timeout.answered(timers.nowMillis() - batch.sentAt);
    }
    provenAt = Math.max(provenAt, batch.sentAt);
    if (unavailable) {
      unavailable = false;
      log.event(PART, "store-regained", "epoch", epoch);
    }
    // The partition takes appends in the order of their numbers, so an answer to a later one says
    // that the earlier are written; they are told in order all the same.
    while (!stopped && !underWay.isEmpty() && underWay.get(0).done) {
      Batch written = underWay.remove(0);
      written.versions.forEach(callbacks::written);
      written.actions.forEach(Runnable::run);
    }
    scheduleIfNeeded();
  }

  private void failed(Batch batch, StoreException error) {
    boolean early =
        error.error() == StoreError.OUT_OF_SEQUENCE && error.offset() < batch.append.sequence();
    if (error.error() == StoreError.FENCED
        || error.error() == StoreError.OUT_OF_SEQUENCE && !early) {
      stopped = true;
      callbacks.fenced(error.getMessage());
      return;
    }
    if (error.error() == StoreError.UNKNOWN) {
      long now = timers.nowMillis();
      timeout.unanswered(now - batch.lastSentAt, now - answeredAt);
    }
    if (!early && !unavailable) {
      unavailable = true;
      unavailableSince = timers.nowMillis();
      log.event(
          PART,
          "store-lost",
          "epoch",
          epoch,
          "error",
          error.getMessage(),
          "proof_age_ms",
          timers.nowMillis() - provenAt);
    }
    timers.after(
        early ? LINGER : RETRY,
        () -> {
          if (!stopped) {
            send(batch);
          }
        });
  }

  /** One append with what is to be told once it is written. */
  private static final class Batch {

    private final Append append;
    private final Map<Submission, Long> versions;
    private final List<Runnable> actions;

    /**
     * When it was sent first. The store repeats its first answer, which proves no more than that.
     */
    private long sentAt;

    private long lastSentAt;
    private int attempts;
    private boolean done;

    Batch(Append append, Map<Submission, Long> versions, List<Runnable> actions) {
      this.append = append;
      this.versions = versions;
      this.actions = actions;
    }
  }
}
