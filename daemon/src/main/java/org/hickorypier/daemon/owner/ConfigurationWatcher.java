package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.hickorypier.core.cell.EvacuationReading;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.configuration.ConfigurationDecoder;
import org.hickorypier.platform.configuration.EvacuationKeys;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.platform.store.StoreError;
import org.hickorypier.platform.store.StoreException;
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

  /**
   * Age of the last read from which on the owner is asked for its own. A read takes 1 s while
   * nothing changes, so a single lost answer does not make it this old.
   */
  private static final long ASK_OWNER_AFTER_MILLIS = 1_800;

  private static final Duration ASK_OWNER_PERIOD = Duration.ofMillis(400);

  /** A store that is well answers within some 10 ms, and one that is slow within some 250 ms. */
  private static final Duration STORE_CHECK_TIMEOUT = Duration.ofMillis(150);

  /** After this time without a proof the store counts as lost, which is logged once. */
  private static final long STORE_LOST_AFTER_MILLIS = 2_500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final StoreClient store;
  private final TopicReader reader;
  private final TimerService timers;
  private final SuspensionDetector suspensionDetector;
  private final EventLog log;
  private final Listener listener;
  private volatile ClusterConfiguration current;
  private byte[] currentRecord = {};
  private final Set<String> evacuated = new TreeSet<>();
  private final long maxProofAgeMillis;

  /** When the last read of the store was sent that reached the newest record. */
  private volatile long readAt = NEVER;

  /** When the last read of the store was sent of which the owner has told this instance. */
  private volatile long ownerReadAt = NEVER;

  private boolean storeLost;
  private boolean askingOwner;

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
    this.store = store;
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
    // wait. Before the first configuration there is nothing to prove, and the store answers a
    // waiting read as soon as there is one.
    long waitMillis = isFresh() ? READ_WAIT_MILLIS : 0;
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
    return isRecent(readAt, maxProofAgeMillis) || isRecent(ownerReadAt, maxProofAgeMillis);
  }

  /**
   * Returns whether the proof is recent enough for this instance to take new connections.
   *
   * @return false if the store seems to be unavailable, to this instance or to all
   */
  public boolean isFresh() {
    return isRecent(readAt, Math.min(MAX_FRESH_PROOF_AGE_MILLIS, maxProofAgeMillis));
  }

  private boolean isRecent(long time, long millis) {
    return suspensionDetector.isUninterruptedSince(time) && timers.nowMillis() - time <= millis;
  }

  /**
   * Asks the store for something that it answers at once.
   *
   * @return whether it has answered within a short time; never fails
   */
  public Future<Boolean> checkStore() {
    if (current == null) {
      return Future.succeededFuture(false);
    }
    Promise<Boolean> checked = Promise.promise();
    timers.after(STORE_CHECK_TIMEOUT, () -> checked.tryComplete(false));
    store
        .read(StoreClient.OPERATOR_TOPIC, TopicReader.PARTITION, reader.position(), 0)
        .onComplete(
            page -> checked.tryComplete(true),
            error ->
                checked.tryComplete(
                    error instanceof StoreException refusal
                        && refusal.error() == StoreError.EXPIRED));
    return checked.future();
  }

  /**
   * Answers an instance that the store does not answer.
   *
   * @param version the version that the instance knows, or 0
   * @return the newest configuration that this instance has read from the store, or {@link
   *     LinkReply.Failed} if it has no recent proof of its own
   */
  public LinkReply proveConfiguration(long version) {
    if (current == null || !isFresh()) {
      return new LinkReply.Failed();
    }
    String record =
        version == current.version() ? "" : new String(currentRecord, StandardCharsets.UTF_8);
    return new LinkReply.Configuration(timers.nowMillis() - readAt, record);
  }

  /**
   * Asks the owner for its proof whenever this instance has read nothing from the store for a
   * while. The store may turn away this machine alone, and callers on open connections would be
   * refused although their keys can be checked.
   *
   * @param owner sends a request to the owner
   */
  public void askWhileStoreUnavailable(Function<LinkRequest, Future<LinkReply>> owner) {
    timers.every(
        ASK_OWNER_PERIOD,
        () -> {
          if (!askingOwner && current != null && !isRecent(readAt, ASK_OWNER_AFTER_MILLIS)) {
            askingOwner = true;
            ask(owner);
          }
        });
  }

  private void ask(Function<LinkRequest, Future<LinkReply>> owner) {
    long sentAt = timers.nowMillis();
    owner
        .apply(new LinkRequest.ProveConfiguration(current.version()))
        .onComplete(
            reply -> {
              askingOwner = false;
              if (reply instanceof LinkReply.Configuration configuration) {
                applyProof(configuration, sentAt);
              }
            },
            error -> askingOwner = false);
  }

  private void applyProof(LinkReply.Configuration proof, long sentAt) {
    long version =
        proof.record().isEmpty()
            ? current.version()
            : applyConfiguration(proof.record().getBytes(StandardCharsets.UTF_8));
    // A record that cannot be read, or an older one, proves nothing about the present version.
    if (version == current.version()) {
      ownerReadAt = Math.max(ownerReadAt, sentAt - proof.ageMillis());
    }
  }

  /** Applies a read. Another one follows even if it fails, or later versions would be missed. */
  private void handleChanges(TopicReader.Changes changes, long sentAt) {
    try {
      apply(changes, sentAt);
    } finally {
      start();
    }
  }

  private void apply(TopicReader.Changes changes, long sentAt) {
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
            current == null ? -1 : timers.nowMillis() - readAt);
      }
    }
  }

  private void recordProof(long sentAt) {
    readAt = sentAt;
    if (storeLost) {
      storeLost = false;
      log.event(PART, "store-regained", "version", current == null ? 0 : current.version());
    }
  }

  /** Applies a record if it is newer, and returns its version; 0 if it cannot be read. */
  private long applyConfiguration(byte[] value) {
    if (value == null) {
      return 0;
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
        currentRecord = value;
        listener.configurationChanged(newer);
      }
      return newer.version();
    } catch (UndecodableException error) {
      log.event(PART, "unreadable-configuration", "error", error.getMessage());
      return 0;
    }
  }

  private void handleReadFailure(Throwable error) {
    if (!storeLost && timers.nowMillis() - readAt > STORE_LOST_AFTER_MILLIS) {
      storeLost = true;
      log.event(PART, "store-lost", "error", error.getMessage());
    }
    timers.after(RETRY_DELAY, this::start);
  }
}
