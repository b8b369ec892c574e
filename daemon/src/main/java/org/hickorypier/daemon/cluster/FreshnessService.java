package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.hickorypier.core.membership.FreshnessProof;
import org.hickorypier.core.membership.PeerFreshness;
import org.hickorypier.daemon.time.TimerService;

/**
 * Maintains the proof that this instance's configuration is recent, and asks the peers when the log
 * does not respond. Confined to the control thread.
 */
public final class FreshnessService {

  private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

  /** A long poll of the log is answered within this time; beyond it the log counts as silent. */
  private static final long LOG_SILENCE_MILLIS = 3_000;

  private final Cluster cluster;
  private final TimerService timers;
  private final Executor control;
  private final LongSupplier logAgeMillis;
  private final LongSupplier appliedOffset;
  private final FreshnessProof proof = new FreshnessProof();
  private boolean roundInProgress;

  /**
   * Creates the service.
   *
   * @param cluster this instance's view of the other instances
   * @param timers the clock and the periodic timers
   * @param control the executor of the control thread
   * @param logAgeMillis the time since the log was last read to its end, in milliseconds; {@link
   *     Long#MAX_VALUE} if it never was
   * @param appliedOffset the configuration offset that this instance has applied
   */
  public FreshnessService(
      Cluster cluster,
      TimerService timers,
      Executor control,
      LongSupplier logAgeMillis,
      LongSupplier appliedOffset) {
    this.cluster = cluster;
    this.timers = timers;
    this.control = control;
    this.logAgeMillis = logAgeMillis;
    this.appliedOffset = appliedOffset;
  }

  /**
   * Registers the question handler and starts the periodic check.
   *
   * @param requests the dispatcher to register question handlers with
   */
  public void start(PeerRequestDispatcher requests) {
    requests.registerQuestionHandler(
        QuestionKind.FRESHNESS,
        text -> Uni.createFrom().item(Cluster.utf8Bytes(localFreshness().text())));
    timers.every(CHECK_PERIOD, this::checkLogAge);
  }

  /**
   * Returns the time for which configuration changes may have been missed.
   *
   * @return the time in milliseconds, or {@link Long#MAX_VALUE} if nothing has been proved yet
   */
  public long ageMillis() {
    recordLogRead();
    return proof.ageMillis(timers.nowMillis());
  }

  private PeerFreshness localFreshness() {
    return new PeerFreshness(appliedOffset.getAsLong(), ageMillis());
  }

  private void recordLogRead() {
    long age = logAgeMillis.getAsLong();
    if (age != Long.MAX_VALUE) {
      proof.recordLogRead(timers.nowMillis() - age);
    }
  }

  private void checkLogAge() {
    if (logAgeMillis.getAsLong() > LOG_SILENCE_MILLIS && !roundInProgress) {
      askPeers();
    }
  }

  private void askPeers() {
    Set<String> others = cluster.listedOtherInstances();
    if (others.isEmpty()) {
      return;
    }
    roundInProgress = true;
    long sentMillis = timers.nowMillis();
    cluster
        .askAll(others, QuestionKind.FRESHNESS, "")
        .subscribe()
        .with(replies -> control.execute(() -> onReplies(sentMillis, replies)));
  }

  private void onReplies(long sentMillis, List<PeerReply> replies) {
    roundInProgress = false;
    List<PeerFreshness> freshness =
        replies.stream()
            .flatMap(reply -> reply.text().stream())
            .flatMap(text -> parse(text).stream())
            .toList();
    proof.recordPeerRound(sentMillis, appliedOffset.getAsLong(), true, freshness, replies.size());
  }

  private static Optional<PeerFreshness> parse(String text) {
    try {
      return Optional.of(PeerFreshness.parse(text));
    } catch (NumberFormatException error) {
      return Optional.empty();
    }
  }
}
