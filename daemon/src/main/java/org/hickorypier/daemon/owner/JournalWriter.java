package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.submission.SubmissionCodec;
import org.hickorypier.daemon.time.DelayMonitor;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreError;
import org.hickorypier.platform.store.StoreException;

/**
 * Writes the owner's journal with a few appends in flight; all that is saved meanwhile goes into
 * the next append.
 *
 * <p>While the store is unavailable, new submissions join no append, so that few of them have an
 * unknown outcome; those of an append of which every attempt had no effect are taken out of it. All
 * else is appended as usual.
 *
 * <p>Invariants: an append whose outcome is unknown is repeated unchanged, under the same sequence
 * number, until the store reports its outcome; a submission is withdrawn only if no append that may
 * have taken effect, or is being sent, has carried it; nothing is written after a successor has
 * fenced the partition. Each success proves that no successor had fenced it when the append was
 * sent. Confined to the control thread.
 */
final class JournalWriter implements PendingAcceptances.Journal {

  private static final String PART = "journal";

  /**
   * Records saved within this time share one append, since the store charges for calls and limits
   * their number.
   */
  private static final Duration LINGER = Duration.ofMillis(8);

  private static final Duration RETRY_DELAY = Duration.ofMillis(80);

  /** Without other appends, one is made after this time as a proof of ownership. */
  private static final long PROOF_PERIOD_MILLIS = 1_000;

  /**
   * The store answers after some 4 ms, and after 0.2 s on its slowest days; with one append at a
   * time each write would wait for up to two answers. The store repeats its answers to the last
   * five appends.
   */
  private static final int MAX_IN_FLIGHT_APPENDS = 3;

  /** With one more record well below the largest call that the store accepts, 2 MB. */
  private static final int BATCH_BYTES = 1 << 20;

  private final Store store;
  private final TimerService timers;
  private final SuspensionDetector suspensionDetector;
  private final DelayMonitor delayMonitor;
  private final EventLog log;
  private final int epoch;
  private final Callbacks callbacks;

  /** Submissions to be written for the first time that no append carries, oldest first. */
  private final TreeSet<Submission> newSubmissions =
      new TreeSet<>(Comparator.comparingLong(Submission::number));

  private final Set<Submission> changedSubmissions = new LinkedHashSet<>();
  private final Map<String, byte[]> otherRecords = new LinkedHashMap<>();
  private final List<Runnable> waitingActions = new ArrayList<>();
  private final AppendTimeout timeout = new AppendTimeout();
  private long sequence;
  private final List<Batch> inFlight = new ArrayList<>();
  private boolean scheduled;
  private boolean stopped;
  private boolean unavailable;
  private long unavailableSince;
  private long provenAt;
  private long answeredAt;
  private long pausedUntil;

  /**
   * Creates the writer.
   *
   * @param sequence the sequence number of the last append of this epoch
   */
  JournalWriter(
      Store store,
      TimerService timers,
      SuspensionDetector suspensionDetector,
      DelayMonitor delayMonitor,
      EventLog log,
      int epoch,
      long sequence,
      Callbacks callbacks) {
    this.store = store;
    this.timers = timers;
    this.suspensionDetector = suspensionDetector;
    this.delayMonitor = delayMonitor;
    this.log = log;
    this.epoch = epoch;
    this.sequence = sequence;
    this.callbacks = callbacks;
    this.provenAt = timers.nowMillis();
  }

  /** The store that keeps the journal. */
  @FunctionalInterface
  interface Store {

    /**
     * Appends records, once for each epoch and sequence number.
     *
     * @return completes when they are written; fails with a {@link StoreException}
     */
    Future<Long> append(Append append, long timeoutMillis);
  }

  /** The events that the owner is told of. */
  interface Callbacks {

    /** A submission has been written in the state of some version. */
    void written(Submission submission, long version);

    /** A successor has taken over. */
    void fenced(String reason);
  }

  void save(Submission submission) {
    addToWrite(submission);
    scheduleIfNeeded();
  }

  private void addToWrite(Submission submission) {
    if (submission.durable()) {
      changedSubmissions.add(submission);
    } else {
      newSubmissions.add(submission);
    }
  }

  @Override
  public boolean withdraw(Submission submission) {
    return isUnsent(submission) && newSubmissions.remove(submission);
  }

  @Override
  public boolean isUnsent(Submission submission) {
    return newSubmissions.contains(submission)
        && inFlight.stream().noneMatch(batch -> batch.versions.containsKey(submission));
  }

  private boolean hasNewSubmissionsToWrite() {
    return !newSubmissions.isEmpty() && !unavailable;
  }

  void put(String key, byte[] value) {
    otherRecords.put(key, value);
    schedule();
  }

  /** Runs an action once all that was saved before is written, but submissions held back. */
  void afterSave(Runnable action) {
    if (inFlight.isEmpty()
        && !hasNewSubmissionsToWrite()
        && changedSubmissions.isEmpty()
        && otherRecords.isEmpty()) {
      action.run();
    } else {
      waitingActions.add(action);
      schedule();
    }
  }

  /**
   * Returns whether a proof of ownership is no older than some time, so that no successor can have
   * taken over before that.
   */
  boolean isProven(long withinMillis) {
    return !stopped
        && suspensionDetector.isUninterruptedSince(provenAt)
        && timers.nowMillis() - provenAt <= withinMillis;
  }

  /**
   * Returns for how long the store has refused or not answered the present append, in milliseconds;
   * 0 if it has not.
   */
  @Override
  public long unavailableMillis() {
    return unavailable ? timers.nowMillis() - unavailableSince : 0;
  }

  void tick() {
    boolean proofStale = timers.nowMillis() - provenAt > PROOF_PERIOD_MILLIS;
    if (!stopped
        && inFlight.isEmpty()
        && (proofStale || !suspensionDetector.isUninterruptedSince(provenAt))) {
      put(JournalKeys.PROOF, new byte[] {1});
    }
  }

  /**
   * Starts no new append for some time.
   *
   * <p>An owner writes some 50 times a second, and a successor claims the cell on condition that
   * the journal ends where it has read to. Without the pause the claim fails until the successor
   * fences the owner first: nothing starts in the cell for 0.3 s, and all requests that wait for an
   * append are sent again.
   *
   * @param millis the time, in milliseconds
   */
  void pauseAppends(long millis) {
    pausedUntil = timers.nowMillis() + millis;
  }

  /** Ends the pause and writes a proof record, which shows whether a successor has taken over. */
  void resumeAppends() {
    pausedUntil = 0;
    scheduled = false;
    put(JournalKeys.PROOF, new byte[] {1});
  }

  void stop() {
    stopped = true;
  }

  private void schedule() {
    if (!scheduled && !stopped && inFlight.size() < MAX_IN_FLIGHT_APPENDS) {
      scheduled = true;
      timers.after(LINGER, this::flush);
    }
  }

  private void flush() {
    scheduled = false;
    if (stopped || inFlight.size() >= MAX_IN_FLIGHT_APPENDS) {
      return;
    }
    long pauseMillis = pausedUntil - timers.nowMillis();
    if (pauseMillis > 0) {
      scheduled = true;
      timers.after(Duration.ofMillis(pauseMillis), this::flush);
      return;
    }
    List<KeyedRecord> records = new ArrayList<>();
    int bytes = drainOtherRecords(records);
    Map<Submission, List<KeyedRecord>> newSubmissionRecords = new HashMap<>();
    // A deletion that is left over must not follow a submission that is written anew.
    final Map<Submission, Long> versions =
        otherRecords.isEmpty()
            ? drainChanges(records, bytes, newSubmissionRecords)
            : new HashMap<>();
    if (records.isEmpty()) {
      releaseWaitingActions();
      return;
    }
    // Actions wait for all that was saved before them, so they stay queued while some of it is
    // left over.
    List<Runnable> actions = new ArrayList<>();
    if (otherRecords.isEmpty() && changedSubmissions.isEmpty() && !hasNewSubmissionsToWrite()) {
      actions.addAll(waitingActions);
      waitingActions.clear();
    }
    sequence++;
    Batch batch = new Batch(toAppend(records, sequence), versions, newSubmissionRecords, actions);
    inFlight.add(batch);
    send(batch);
    scheduleIfNeeded();
  }

  private Append toAppend(List<KeyedRecord> records, long number) {
    return new Append(
        JournalKeys.TOPIC,
        JournalKeys.PARTITION,
        records,
        OptionalLong.empty(),
        JournalKeys.PRODUCER,
        epoch,
        number);
  }

  /** Takes the new submissions out of an append of which no attempt had an effect. */
  private void takeBackNewSubmissions(Batch batch) {
    if (batch.newSubmissionRecords.isEmpty()) {
      return;
    }
    List<KeyedRecord> records = new ArrayList<>(batch.append.records());
    batch.newSubmissionRecords.values().forEach(records::removeAll);
    if (records.isEmpty()) {
      records.add(new KeyedRecord(JournalKeys.PROOF, new byte[] {1}));
    }
    batch.append = toAppend(records, batch.append.sequence());
    batch.versions.keySet().removeAll(batch.newSubmissionRecords.keySet());
    batch.newSubmissionRecords.keySet().forEach(this::addToWrite);
    batch.newSubmissionRecords.clear();
  }

  /**
   * Runs the waiting actions when nothing is left to write, or attaches them to the last append in
   * flight.
   */
  private void releaseWaitingActions() {
    List<Runnable> actions = List.copyOf(waitingActions);
    waitingActions.clear();
    if (inFlight.isEmpty()) {
      actions.forEach(Runnable::run);
    } else {
      inFlight.get(inFlight.size() - 1).actions.addAll(actions);
    }
  }

  private int drainOtherRecords(List<KeyedRecord> records) {
    int bytes = 0;
    var others = otherRecords.entrySet().iterator();
    while (others.hasNext() && bytes < BATCH_BYTES) {
      Map.Entry<String, byte[]> next = others.next();
      records.add(new KeyedRecord(next.getKey(), next.getValue()));
      bytes += next.getKey().length() + (next.getValue() == null ? 0 : next.getValue().length);
      others.remove();
    }
    return bytes;
  }

  private Map<Submission, Long> drainChanges(
      List<KeyedRecord> records,
      int bytesBefore,
      Map<Submission, List<KeyedRecord>> newSubmissionRecords) {
    Map<Submission, Long> versions = new HashMap<>();
    int bytes = bytesBefore;
    var changed = changedSubmissions.iterator();
    while (changed.hasNext() && bytes < BATCH_BYTES) {
      Submission submission = changed.next();
      changed.remove();
      versions.put(submission, submission.version());
      if (submission.needsSaving()) {
        bytes += addProgress(submission, records);
      }
    }
    while (hasNewSubmissionsToWrite() && bytes < BATCH_BYTES) {
      Submission submission = newSubmissions.pollFirst();
      versions.put(submission, submission.version());
      byte[] spec = SubmissionCodec.encode(submission.spec(), submission.number());
      bytes += spec.length;
      List<KeyedRecord> ownRecords = new ArrayList<>();
      ownRecords.add(new KeyedRecord(JournalKeys.specKey(submission.spec().id()), spec));
      if (submission.needsSaving()) {
        bytes += addProgress(submission, ownRecords);
      }
      newSubmissionRecords.put(submission, ownRecords);
      records.addAll(ownRecords);
    }
    return versions;
  }

  private static int addProgress(Submission submission, List<KeyedRecord> records) {
    byte[] value = SubmissionCodec.encodeProgress(submission.progress());
    records.add(new KeyedRecord(JournalKeys.progressKey(submission.spec().id()), value));
    return value.length;
  }

  private void scheduleIfNeeded() {
    if (!changedSubmissions.isEmpty()
        || hasNewSubmissionsToWrite()
        || !otherRecords.isEmpty()
        || !waitingActions.isEmpty()) {
      schedule();
    }
  }

  private void send(Batch batch) {
    long now = timers.nowMillis();
    batch.attempts++;
    batch.sentAt = batch.attempts == 1 ? now : batch.sentAt;
    batch.lastSentAt = now;
    store
        .append(batch.append, timeout.timeoutMillis(batch.attempts))
        .onComplete(
            end -> handleSuccess(batch), error -> handleFailure(batch, (StoreException) error));
  }

  private void handleSuccess(Batch batch) {
    batch.done = true;
    answeredAt = timers.nowMillis();
    if (batch.attempts == 1) {
      timeout.recordAnswer(timers.nowMillis() - batch.sentAt);
    }
    provenAt = Math.max(provenAt, batch.sentAt);
    if (unavailable) {
      unavailable = false;
      log.event(PART, "store-regained", "epoch", epoch);
    }
    // The partition takes appends in the order of their sequence numbers, so the answer to a later
    // append implies that the earlier ones are written. The callbacks run in order all the same.
    while (!stopped && !inFlight.isEmpty() && inFlight.get(0).done) {
      Batch written = inFlight.remove(0);
      written.versions.forEach(this::reportWritten);
      written.actions.forEach(Runnable::run);
    }
    scheduleIfNeeded();
  }

  private void reportWritten(Submission submission, long version) {
    callbacks.written(submission, version);
    // A submission that was cancelled while its specification was being written waits as a new one.
    // Only its progress is left to write, which is not held back while the store is unavailable.
    if (newSubmissions.remove(submission)) {
      changedSubmissions.add(submission);
    }
  }

  private void handleFailure(Batch batch, StoreException error) {
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
      timeout.recordTimeout(now - batch.lastSentAt, now - answeredAt);
    }
    // An answer that lies unread does not make the store unavailable.
    boolean inconclusive =
        error.error() == StoreError.UNKNOWN && delayMonitor.wasDelayedSince(batch.lastSentAt);
    batch.mayBeWritten |= !early && error.error() != StoreError.UNAVAILABLE;
    if (!early && !inconclusive && !unavailable) {
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
    if (unavailable && !batch.mayBeWritten) {
      takeBackNewSubmissions(batch);
    }
    timers.after(
        early ? LINGER : RETRY_DELAY,
        () -> {
          if (!stopped) {
            send(batch);
          }
        });
  }

  /** One append, with the versions and actions to report once it is written. */
  private static final class Batch {

    private Append append;
    private final Map<Submission, Long> versions;

    /** The records of submissions that were not durable when this append was made. */
    private final Map<Submission, List<KeyedRecord>> newSubmissionRecords;

    private final List<Runnable> actions;

    /**
     * When the append was first sent. The store repeats its first answer, which proves the
     * ownership at that time only.
     */
    private long sentAt;

    private long lastSentAt;
    private int attempts;
    private boolean done;

    /** Whether an attempt may have had an effect; its content is fixed from then on. */
    private boolean mayBeWritten;

    Batch(
        Append append,
        Map<Submission, Long> versions,
        Map<Submission, List<KeyedRecord>> newSubmissionRecords,
        List<Runnable> actions) {
      this.append = append;
      this.versions = versions;
      this.newSubmissionRecords = newSubmissionRecords;
      this.actions = actions;
    }
  }
}
