package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.hickorypier.core.membership.HomeHistory;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.message.HomeViews;

/**
 * Keeps the {@link HomeHistory}: notes the candidates, and learns from the other instances what was
 * before a start or a pause.
 *
 * <p>Belongs to the control thread. Load: 260 restarts a day. Learning costs each of them one
 * question to each other instance; asking after each single request for as long as one can run
 * would cost thousands.
 */
public final class HistoryExchange {

  private static final Logger LOGGER = System.getLogger(HistoryExchange.class.getName());

  private static final Duration PERIOD = Duration.ofMillis(100);

  private final HomeHistory history;
  private final Cluster cluster;
  private final TimerService timers;
  private final Executor control;
  private final BooleanSupplier listRead;
  private final BooleanSupplier firstGeneration;
  private final MessagePackCodec<HomeViews> codec = new MessagePackCodec<>(HomeViews.class);
  private final Set<String> asking = new HashSet<>();

  /**
   * Creates it and answers the other instances.
   *
   * @param history what is known
   * @param cluster the other instances
   * @param requests answers them
   * @param timers the time
   * @param control the control thread
   * @param listRead whether the other instances are known at all
   * @param firstGeneration whether the log shows that no instance was ever lost
   */
  public HistoryExchange(
      HomeHistory history,
      Cluster cluster,
      PeerRequests requests,
      TimerService timers,
      Executor control,
      BooleanSupplier listRead,
      BooleanSupplier firstGeneration) {
    this.history = history;
    this.cluster = cluster;
    this.timers = timers;
    this.control = control;
    this.listRead = listRead;
    this.firstGeneration = firstGeneration;
    requests.answer(
        QuestionKind.HOMES,
        text -> Uni.createFrom().item(codec.encode(history.snapshot(timers.nowMillis()))));
  }

  /** Starts to note and to learn. */
  public void start() {
    timers.every(PERIOD, this::look);
  }

  private void look() {
    long now = timers.nowMillis();
    history.recordCandidates(cluster.candidates(), now);
    if (!listRead.getAsBoolean()) {
      return;
    }
    Set<String> unheard = history.awaitedPeers(cluster.liveOthers());
    if (unheard.isEmpty() && !history.hasHeardFromAllPeers(now)) {
      if (firstGeneration.getAsBoolean()) {
        history.markHistoryComplete();
      }
      history.markHeardFromAllPeers();
      LOGGER.log(Level.INFO, "homes: taught by all of {0}", cluster.liveOthers());
    } else {
      unheard.forEach(this::ask);
    }
  }

  private void ask(String instance) {
    if (!asking.add(instance)) {
      return;
    }
    cluster
        .ask(instance, QuestionKind.HOMES, "")
        .subscribe()
        .with(
            data ->
                control.execute(
                    () -> {
                      asking.remove(instance);
                      learn(instance, data);
                    }),
            error -> control.execute(() -> asking.remove(instance)));
  }

  private void learn(String instance, byte[] data) {
    try {
      history.mergePeerHistory(instance, codec.decode(data), timers.nowMillis());
    } catch (UndecodableException error) {
      // One of another version tells nothing, so what it did before is not known.
      LOGGER.log(Level.WARNING, "homes: {0} tells nothing: {1}", instance, error.getMessage());
      history.mergePeerHistory(instance, new HomeViews(0, List.of()), timers.nowMillis());
    }
  }
}
