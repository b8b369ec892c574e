package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.function.Consumer;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.configuration.ConfigurationDecoder;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.wire.UndecodableException;

/**
 * Follows the operator's configuration, and knows how old the proof is that it is the newest.
 *
 * <p>Invariant: versions only rise. {@link #current} and {@link #proven} are thread safe; the rest
 * belongs to the control thread.
 */
public final class ConfigurationWatcher implements ConfigurationSource {

  private static final String PART = "configuration";

  /** A read without a new record proves, after this time, that there was none. */
  private static final long READ_WAIT_MILLIS = 1_000;

  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  /**
   * Part of the time within which a withdrawn key must stop working. A request is judged after it
   * was sent, so a proof as old as the whole time would do; the rest covers clocks.
   */
  private static final double REVOCATION_FRACTION = 0.8;

  /**
   * With an older proof the balancer should send new connections to others: a read takes 1 s at
   * rest, so one lost answer voids none.
   */
  private static final long MAX_FRESH_PROOF_AGE_MILLIS = 2_500;

  /** After so long without a proof the store counts as lost, which is told once. */
  private static final long STORE_LOST_AFTER_MILLIS = 2_500;

  private final TopicReader reader;
  private final TimerService timers;
  private final SuspensionDetector suspensionDetector;
  private final EventLog log;
  private final Consumer<ClusterConfiguration> listener;
  private volatile ClusterConfiguration current;
  private final long maxProofAgeMillis;
  private volatile long provenAt = Long.MIN_VALUE / 2;
  private boolean storeLost;

  /**
   * Creates the watch.
   *
   * @param store the store
   * @param timers the timers
   * @param pauses tells of suspensions
   * @param log takes the events
   * @param revokeMillis within this time a withdrawn key must stop working, in milliseconds
   * @param listener hears of each new version, on the control thread
   */
  public ConfigurationWatcher(
      StoreClient store,
      TimerService timers,
      SuspensionDetector pauses,
      EventLog log,
      long revokeMillis,
      Consumer<ClusterConfiguration> listener) {
    this.reader = new TopicReader(store, StoreClient.OPERATOR_TOPIC);
    this.timers = timers;
    this.suspensionDetector = pauses;
    this.log = log;
    this.maxProofAgeMillis = Math.round(REVOCATION_FRACTION * revokeMillis);
    this.listener = listener;
  }

  /** Begins to watch. */
  public void start() {
    long sentAt = timers.nowMillis();
    // After a suspension or a lost answer a proof is wanted at once, not after a wait.
    long wait = current != null && isFresh() ? READ_WAIT_MILLIS : 0;
    reader
        .readNext(wait)
        .onComplete(changes -> handleChanges(changes, sentAt), this::handleReadFailure);
  }

  @Override
  public ClusterConfiguration current() {
    return current;
  }

  @Override
  public boolean isProven() {
    return isProvenWithin(maxProofAgeMillis);
  }

  /**
   * Tells whether the proof is so young that this instance should take new connections.
   *
   * @return false if the store seems to be away, for this instance or for all
   */
  public boolean isFresh() {
    return isProvenWithin(Math.min(MAX_FRESH_PROOF_AGE_MILLIS, maxProofAgeMillis));
  }

  private boolean isProvenWithin(long millis) {
    long proof = provenAt;
    return suspensionDetector.isUninterruptedSince(proof) && timers.nowMillis() - proof <= millis;
  }

  private void handleChanges(TopicReader.Changes changes, long sentAt) {
    for (KeyedRecord entry : changes.records()) {
      if (entry.key().equals(StoreClient.CONFIGURATION_KEY)) {
        applyConfiguration(entry.value());
      }
    }
    if (changes.caughtUp()) {
      recordProof(sentAt);
    }
    start();
  }

  private void recordProof(long sentAt) {
    provenAt = sentAt;
    if (storeLost) {
      storeLost = false;
      log.event(PART, "store-regained", "version", current == null ? 0 : current.version());
    }
  }

  private void applyConfiguration(byte[] value) {
    if (value == null) {
      return;
    }
    try {
      ClusterConfiguration newer = ConfigurationDecoder.decode(value);
      if (current == null || newer.version() > current.version()) {
        log.event(
            PART,
            "version-in-force",
            "version",
            newer.version(),
            "before",
            current == null ? 0 : current.version(),
            "customers",
            newer.customers().size());
        current = newer;
        listener.accept(newer);
      }
    } catch (UndecodableException error) {
      log.event(PART, "unreadable-configuration", "error", error.getMessage());
    }
  }

  private void handleReadFailure(Throwable error) {
    if (!storeLost && timers.nowMillis() - provenAt > STORE_LOST_AFTER_MILLIS) {
      storeLost = true;
      log.event(PART, "store-lost", "error", error.getMessage());
    }
    timers.after(RETRY_DELAY, this::start);
  }
}
