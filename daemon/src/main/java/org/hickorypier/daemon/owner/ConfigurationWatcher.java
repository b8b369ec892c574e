package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import org.hickorypier.core.cell.EvacuationReading;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.configuration.ConfigurationDecoder;
import org.hickorypier.platform.configuration.EvacuationKeys;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.wire.UndecodableException;

/**
 * Watches the operator's configuration and evacuations in the store, and tracks the age of the
 * proof that the known version is the newest.
 *
 * <p>Invariants: versions only increase; a data centre is evacuated exactly as long as its record
 * exists, so an evacuation whose record is missing in a snapshot has been withdrawn. {@link
 * #current} and {@link #isProven} are thread-safe; everything else is confined to the control
 * thread.
 */
public final class ConfigurationWatcher implements ConfigurationSource {

  private static final String PART = "configuration";

  /** Longest wait of a read. A read that ends without a new record proves that there was none. */
  private static final long READ_WAIT_MILLIS = 1_000;

  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  /**
   * Fraction of the revocation time for which a proof is valid. A request is checked after it was
   * sent, so a proof as old as the whole revocation time would do; the rest allows for differences
   * between clocks.
   */
  private static final double REVOCATION_FRACTION = 0.8;

  /**
   * With an older proof, the load balancer should send new connections to other instances. A read
   * takes 1 s while nothing changes, so a single lost answer does not make the proof this old.
   */
  private static final long MAX_FRESH_PROOF_AGE_MILLIS = 2_500;

  /** After this time without a proof the store counts as lost, which is logged once. */
  private static final long STORE_LOST_AFTER_MILLIS = 2_500;

  private final TopicReader reader;
  private final TimerService timers;
  private final SuspensionDetector suspensionDetector;
  private final EventLog log;
  private final Listener listener;
  private volatile ClusterConfiguration current;
  private final Set<String> evacuated = new TreeSet<>();
  private final long maxProofAgeMillis;
  private volatile long provenAt = Long.MIN_VALUE / 2;
  private boolean storeLost;

  /** Receives what was read, on the control thread. */
  public interface Listener {

    /**
     * Handles a new version of the configuration.
     *
     * @param configuration the configuration
     */
    void configurationChanged(ClusterConfiguration configuration);

    /**
     * Handles a read that reached the newest record.
     *
     * @param reading the evacuations
     */
    void evacuationsRead(EvacuationReading reading);
  }

  /**
   * Creates the watcher.
   *
   * @param store the store
   * @param timers the clock and the timers
   * @param suspensionDetector detects suspensions of the process
   * @param log receives the events
   * @param revokeMillis the time within which a withdrawn key must stop working, in milliseconds
   * @param listener receives what was read
   */
  public ConfigurationWatcher(
      StoreClient store,
      TimerService timers,
      SuspensionDetector suspensionDetector,
      EventLog log,
      long revokeMillis,
      Listener listener) {
    this.reader = new TopicReader(store, StoreClient.OPERATOR_TOPIC);
    this.timers = timers;
    this.suspensionDetector = suspensionDetector;
    this.log = log;
    this.maxProofAgeMillis = Math.round(REVOCATION_FRACTION * revokeMillis);
    this.listener = listener;
  }

  /** Starts reading. Another read follows each read, after a delay if it failed. */
  public void start() {
    long sentAt = timers.nowMillis();
    // After a suspension or a lost answer a proof is needed immediately, so the read does not
    // wait.
    long waitMillis = current != null && isFresh() ? READ_WAIT_MILLIS : 0;
    reader
        .readNext(waitMillis)
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
   * Returns whether the proof is recent enough for this instance to take new connections.
   *
   * @return false if the store seems to be unavailable, to this instance or to all
   */
  public boolean isFresh() {
    return isProvenWithin(Math.min(MAX_FRESH_PROOF_AGE_MILLIS, maxProofAgeMillis));
  }

  private boolean isProvenWithin(long millis) {
    long proofAt = provenAt;
    return suspensionDetector.isUninterruptedSince(proofAt)
        && timers.nowMillis() - proofAt <= millis;
  }

  private void handleChanges(TopicReader.Changes changes, long sentAt) {
    Set<String> before = Set.copyOf(evacuated);
    if (changes.isSnapshot()) {
      evacuated.clear();
    }
    for (KeyedRecord record : changes.records()) {
      if (record.key().equals(StoreClient.CONFIGURATION_KEY)) {
        applyConfiguration(record.value());
      } else {
        EvacuationKeys.dataCentre(record.key())
            .ifPresent(name -> applyEvacuation(name, record.value() != null));
      }
    }
    logEvacuations("evacuation-requested", evacuated, before);
    logEvacuations("evacuation-withdrawn", before, evacuated);
    if (changes.caughtUp()) {
      recordProof(sentAt);
      listener.evacuationsRead(new EvacuationReading(evacuated, sentAt));
    }
    start();
  }

  private void applyEvacuation(String dataCentre, boolean requested) {
    if (requested) {
      evacuated.add(dataCentre);
    } else {
      evacuated.remove(dataCentre);
    }
  }

  private void logEvacuations(String event, Set<String> included, Set<String> excluded) {
    for (String dataCentre : included) {
      if (!excluded.contains(dataCentre)) {
        log.event(
            PART,
            event,
            "data_centre",
            dataCentre,
            "offset",
            reader.position(),
            "previous_read_ms_ago",
            current == null ? -1 : timers.nowMillis() - provenAt);
      }
    }
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
        listener.configurationChanged(newer);
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
