package org.hickorypier.daemon.entry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;

/**
 * Brings a request to its home, and to the next home if that one is lost or cannot tell yet.
 *
 * <p>Belongs to the control thread. Load: homes die, sleep and start anew under their callers. Harm
 * prevented: for the second or two until the others agree on the next home, the caller would be
 * sent away again and again, each time with a part of what it is willing to wait gone. The home
 * learns that an earlier try may have run. A request that is known not to be served in time is not
 * tried again: its caller hears that at once.
 */
public final class HomeRouting {

  private static final Logger LOGGER = System.getLogger(HomeRouting.class.getName());

  /** A tenth of the time in which a lost instance is noticed. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /**
   * A takeover takes less. Past it the caller hears how things stand, while it may still choose.
   */
  private static final long RETRY_WINDOW_MILLIS = 5_000;

  /** A request that is lost with more instances than these may be what ends them. */
  private static final int MAX_RETRIED_LOSSES = 2;

  /** After these the same try may be taken a moment later, there or at the next home. */
  private static final Set<RefusalReason> TRANSIENT_REASONS =
      Set.of(RefusalReason.NOT_READY, RefusalReason.SHUTTING_DOWN, RefusalReason.NO_ROOM);

  private final HomeDirectory homes;
  private final BiConsumer<Submission, Consumer<WorkResult>> localIntake;
  private final TimerService timers;
  private final Executor control;

  /**
   * Creates the routing.
   *
   * @param homes where work is decided
   * @param intake takes work in that is decided here
   * @param timers the time
   * @param control the control thread
   */
  public HomeRouting(
      HomeDirectory homes,
      BiConsumer<Submission, Consumer<WorkResult>> intake,
      TimerService timers,
      Executor control) {
    this.homes = homes;
    this.localIntake = intake;
    this.timers = timers;
    this.control = control;
  }

  /**
   * Brings a request to its home.
   *
   * @param submission the request
   * @param answer is given the final answer, on the control thread
   */
  public void route(Submission submission, Consumer<WorkResult> answer) {
    new RoutedRequest(submission, answer).attempt();
  }

  /** One request on its way. */
  private final class RoutedRequest {

    private final Consumer<WorkResult> answer;
    private final long retryUntilMillis;
    private Submission submission;
    private int losses;

    RoutedRequest(Submission submission, Consumer<WorkResult> answer) {
      this.submission = submission;
      this.answer = answer;
      this.retryUntilMillis =
          Math.min(submission.item().deadlineMillis(), timers.nowMillis() + RETRY_WINDOW_MILLIS);
    }

    void attempt() {
      Optional<String> home = homes.remoteHome(key());
      if (home.isEmpty()) {
        localIntake.accept(submission, this::handleResult);
        return;
      }
      homes
          .forward(home.get(), submission)
          .subscribe()
          .with(
              result -> control.execute(() -> handleResult(result)),
              error -> control.execute(() -> handleResult(forwardingFailure(error))));
    }

    private void handleResult(WorkResult result) {
      boolean lost = result.refusal().isEmpty() && result.outcome() == Outcome.UNKNOWN;
      if (lost) {
        losses++;
        submission = submission.afterEarlierTry();
      }
      boolean again = lost ? isRetryableAfterLoss() : isTransientRefusal(result);
      long until = lost ? submission.item().deadlineMillis() : retryUntilMillis;
      boolean inTime = timers.nowMillis() + RETRY_DELAY.toMillis() < until;
      if (again && inTime) {
        timers.after(RETRY_DELAY, this::attempt);
      } else {
        answer.accept(result);
      }
    }

    private boolean isRetryableAfterLoss() {
      return submission.item().idempotent() && losses <= MAX_RETRIED_LOSSES;
    }

    private boolean isTransientRefusal(WorkResult result) {
      return result instanceof WorkResult.Unsettled
          && result.refusal().map(Refusal::reason).filter(TRANSIENT_REASONS::contains).isPresent();
    }

    private WorkResult forwardingFailure(Throwable error) {
      LOGGER.log(Level.WARNING, "entry: {0} not forwarded: {1}", key(), error.getMessage());
      return new WorkResult.Answered(
          Outcome.UNKNOWN, "internal error: " + error.getMessage(), new byte[0]);
    }

    private WorkKey key() {
      return submission.item().key();
    }
  }
}
