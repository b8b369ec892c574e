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
 * Keeps the proof that this instance's configuration is recent, and asks the peers when the log is
 * silent. Belongs to the control thread.
 */
public final class FreshnessService {

  private static final Duration PERIOD = Duration.ofSeconds(1);

  /** A long poll of the log is answered at this age at the latest; past it the log is silent. */
  private static final long SILENT_MILLIS = 3_000;

  private final Cluster cluster;
  private final TimerService timers;
  private final Executor control;
  private final LongSupplier logAgeMillis;
  private final LongSupplier offset;
  private final FreshnessProof proof = new FreshnessProof();
  private boolean roundOpen;

  /**
   * Creates the service.
   *
   * @param cluster the other instances
   * @param timers the time
   * @param control the control thread
   * @param logAgeMillis the time since the log was last read to its end
   * @param offset the offset that this instance has folded
   */
  public FreshnessService(
      Cluster cluster,
      TimerService timers,
      Executor control,
      LongSupplier logAgeMillis,
      LongSupplier offset) {
    this.cluster = cluster;
    this.timers = timers;
    this.control = control;
    this.logAgeMillis = logAgeMillis;
    this.offset = offset;
  }

  /**
   * Starts to look after the proof.
   *
   * @param requests answers the other instances
   */
  public void start(PeerRequests requests) {
    requests.answer(
        QuestionKind.FRESHNESS, text -> Uni.createFrom().item(Cluster.bytes(own().text())));
    timers.every(PERIOD, this::tick);
  }

  /**
   * Returns for how long changes may have been missed.
   *
   * @return milliseconds, {@link Long#MAX_VALUE} if nothing was ever proved
   */
  public long ageMillis() {
    takeLog();
    return proof.ageMillis(timers.nowMillis());
  }

  private PeerFreshness own() {
    return new PeerFreshness(offset.getAsLong(), ageMillis());
  }

  private void takeLog() {
    long age = logAgeMillis.getAsLong();
    if (age != Long.MAX_VALUE) {
      proof.recordLogRead(timers.nowMillis() - age);
    }
  }

  private void tick() {
    if (logAgeMillis.getAsLong() > SILENT_MILLIS && !roundOpen) {
      askAll();
    }
  }

  private void askAll() {
    Set<String> others = cluster.listedOthers();
    if (others.isEmpty()) {
      return;
    }
    roundOpen = true;
    long sentMillis = timers.nowMillis();
    cluster
        .askAll(others, QuestionKind.FRESHNESS, "")
        .subscribe()
        .with(replies -> control.execute(() -> answered(sentMillis, replies)));
  }

  private void answered(long sentMillis, List<PeerReply> replies) {
    roundOpen = false;
    List<PeerFreshness> came =
        replies.stream()
            .flatMap(reply -> reply.text().stream())
            .flatMap(text -> parse(text).stream())
            .toList();
    proof.recordPeerRound(sentMillis, offset.getAsLong(), true, came, replies.size());
  }

  private static Optional<PeerFreshness> parse(String text) {
    try {
      return Optional.of(PeerFreshness.parse(text));
    } catch (NumberFormatException error) {
      return Optional.empty();
    }
  }
}
