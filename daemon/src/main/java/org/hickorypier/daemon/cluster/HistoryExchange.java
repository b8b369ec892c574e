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
 * Keeps the {@link HomeHistory} up to date: records the home candidates, and obtains the history
 * from before a start or a pause from the other instances.
 *
 * <p>Confined to the control thread. At 260 restarts a day, each restart costs one question to each
 * other instance. Asking about every single request, for as long as a request can run, would cost
 * thousands of questions instead.
 */
public final class HistoryExchange {

  private static final Logger LOGGER = System.getLogger(HistoryExchange.class.getName());

  private static final Duration UPDATE_PERIOD = Duration.ofMillis(100);

  private final HomeHistory history;
  private final Cluster cluster;
  private final TimerService timers;
  private final Executor control;
  private final BooleanSupplier instanceListRead;
  private final BooleanSupplier firstGeneration;
  private final MessagePackCodec<HomeViews> codec = new MessagePackCodec<>(HomeViews.class);
  private final Set<String> instancesBeingAsked = new HashSet<>();

  /**
   * Creates the exchange and registers the handler for questions of other instances.
   *
   * @param history the history of home candidates
   * @param cluster this instance's view of the other instances
   * @param requests answers them
   * @param timers the clock and the periodic timers
   * @param control the executor of the control thread
   * @param instanceListRead whether the platform's instance list has been read
   * @param firstGeneration whether the log proves that no instance has ever been lost
   */
  public HistoryExchange(
      HomeHistory history,
      Cluster cluster,
      PeerRequestDispatcher requests,
      TimerService timers,
      Executor control,
      BooleanSupplier instanceListRead,
      BooleanSupplier firstGeneration) {
    this.history = history;
    this.cluster = cluster;
    this.timers = timers;
    this.control = control;
    this.instanceListRead = instanceListRead;
    this.firstGeneration = firstGeneration;
    requests.registerQuestionHandler(
        QuestionKind.HOMES,
        text -> Uni.createFrom().item(codec.encode(history.snapshot(timers.nowMillis()))));
  }

  /** Starts recording candidates and asking the other instances. */
  public void start() {
    timers.every(UPDATE_PERIOD, this::updateHistory);
  }

  private void updateHistory() {
    long now = timers.nowMillis();
    history.recordCandidates(cluster.homeCandidates(), now);
    if (!instanceListRead.getAsBoolean()) {
      return;
    }
    Set<String> awaited = history.awaitedPeers(cluster.liveOtherInstances());
    if (awaited.isEmpty() && !history.hasHeardFromAllPeers(now)) {
      if (firstGeneration.getAsBoolean()) {
        history.markHistoryComplete();
      }
      history.markHeardFromAllPeers();
      LOGGER.log(
          Level.INFO,
          "homes: received the history of all live instances: {0}",
          cluster.liveOtherInstances());
    } else {
      awaited.forEach(this::ask);
    }
  }

  private void ask(String instance) {
    if (!instancesBeingAsked.add(instance)) {
      return;
    }
    cluster
        .ask(instance, QuestionKind.HOMES, "")
        .subscribe()
        .with(
            data ->
                control.execute(
                    () -> {
                      instancesBeingAsked.remove(instance);
                      learn(instance, data);
                    }),
            error -> control.execute(() -> instancesBeingAsked.remove(instance)));
  }

  private void learn(String instance, byte[] data) {
    try {
      history.mergePeerHistory(instance, codec.decode(data), timers.nowMillis());
    } catch (UndecodableException error) {
      // An instance of another version has an unreadable history, so its past counts as unknown.
      LOGGER.log(
          Level.WARNING,
          "homes: history of {0} cannot be decoded: {1}",
          instance,
          error.getMessage());
      history.mergePeerHistory(instance, new HomeViews(0, List.of()), timers.nowMillis());
    }
  }
}
