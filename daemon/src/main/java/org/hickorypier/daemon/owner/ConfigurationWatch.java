package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.function.Consumer;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.daemon.time.PauseGuard;
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
public final class ConfigurationWatch implements ConfigurationSource {

  private static final String PART = "configuration";

  /** A read without a new record proves, after this time, that there was none. */
  private static final long WAIT_MILLIS = 1_000;

  private static final Duration RETRY = Duration.ofMillis(100);

  /**
   * Part of the time within which a withdrawn key must stop working. A request is judged after it
   * was sent, so a proof as old as the whole time would do; the rest covers clocks.
   */
  private static final double PART_OF_REVOCATION = 0.8;

  /**
   * With an older proof the balancer should send new connections to others: a read takes 1 s at
   * rest, so one lost answer voids none.
   */
  private static final long FRESH_MILLIS = 2_500;

  /** After so long without a proof the store counts as lost, which is told once. */
  private static final long LOST_MILLIS = 2_500;

  private final TopicReader reader;
  private final TimerService timers;
  private final PauseGuard pauses;
  private final EventLog log;
  private final Consumer<ClusterConfiguration> listener;
  private volatile ClusterConfiguration current;
  private final long proofMillis;
  private volatile long provenAt = Long.MIN_VALUE / 2;
  private boolean lost;

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
  public ConfigurationWatch(
      StoreClient store,
      TimerService timers,
      PauseGuard pauses,
      EventLog log,
      long revokeMillis,
      Consumer<ClusterConfiguration> listener) {
    this.reader = new TopicReader(store, StoreClient.OPERATOR_TOPIC);
    this.timers = timers;
    this.pauses = pauses;
    this.log = log;
    this.proofMillis = Math.round(PART_OF_REVOCATION * revokeMillis);
    this.listener = listener;
  }

  /** Begins to watch. */
  public void start() {
    long sentAt = timers.nowMillis();
    // After a suspension or a lost answer a proof is wanted at once, not after a wait.
    long wait = current != null && fresh() ? WAIT_MILLIS : 0;
    reader.readNext(wait).onComplete(changes -> read(changes, sentAt), this::failed);
  }

  @Override
  public ClusterConfiguration current() {
    return current;
  }

  @Override
  public boolean proven() {
    return provenWithin(proofMillis);
  }

  /**
   * Tells whether the proof is so young that this instance should take new connections.
   *
   * @return false if the store seems to be away, for this instance or for all
   */
  public boolean fresh() {
    return provenWithin(Math.min(FRESH_MILLIS, proofMillis));
  }

  private boolean provenWithin(long millis) {
    long proof = provenAt;
    return pauses.unbroken(proof) && timers.nowMillis() - proof <= millis;
  }

  private void read(TopicReader.Changes changes, long sentAt) {
    for (KeyedRecord entry : changes.records()) {
      if (entry.key().equals(StoreClient.CONFIGURATION_KEY)) {
        take(entry.value());
      }
    }
    if (changes.caughtUp()) {
      proved(sentAt);
    }
    start();
  }

  private void proved(long sentAt) {
    provenAt = sentAt;
    if (lost) {
      lost = false;
      log.event(PART, "store-regained", "version", current == null ? 0 : current.version());
    }
  }

  private void take(byte[] value) {
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

  private void failed(Throwable error) {
    if (!lost && timers.nowMillis() - provenAt > LOST_MILLIS) {
      lost = true;
      log.event(PART, "store-lost", "error", error.getMessage());
    }
    timers.after(RETRY, this::start);
  }
}
