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
 * Routes a request to its home, and retries at the next home if that one is lost or cannot decide
 * yet.
 *
 * <p>Home instances fail, pause and restart while requests are open. The other instances need a
 * second or two to agree on the next home; without retries here the caller would be refused
 * repeatedly during that time, and each refusal would use up part of the time that the caller is
 * willing to wait. After a loss the retry tells the next home that an earlier attempt may have run.
 * A request that is refused because it cannot be served before its deadline is not retried: the
 * caller is answered at once.
 *
 * <p>Confined to the control thread.
 */
public final class HomeRouting {

  private static final Logger LOGGER = System.getLogger(HomeRouting.class.getName());

  /** The delay before a retry: a tenth of the time that it takes to detect a lost instance. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /**
   * The time for retries of transient refusals. A takeover takes less. Once it has passed, the
   * caller gets the last refusal while it still has time to choose what to do next.
   */
  private static final long RETRY_WINDOW_MILLIS = 5_000;

  /**
   * The number of lost homes after which a request is still retried. A request that loses more
   * instances than this may itself be the cause of their failures.
   */
  private static final int MAX_RETRIED_LOSSES = 2;

  /** Refusals that may clear within moments, at the same home or at the next one. */
  private static final Set<RefusalReason> TRANSIENT_REASONS =
      Set.of(RefusalReason.NOT_READY, RefusalReason.SHUTTING_DOWN, RefusalReason.NO_ROOM);

  private final HomeDirectory homes;
  private final BiConsumer<Submission, Consumer<WorkResult>> localIntake;
  private final TimerService timers;
  private final Executor control;

  /**
   * Creates the routing.
   *
   * @param homes locates homes and forwards work to them
   * @param localIntake accepts work whose home is this instance
   * @param timers the clock and timers
   * @param control the executor of the control thread
   */
  public HomeRouting(
      HomeDirectory homes,
      BiConsumer<Submission, Consumer<WorkResult>> localIntake,
      TimerService timers,
      Executor control) {
    this.homes = homes;
    this.localIntake = localIntake;
    this.timers = timers;
    this.control = control;
  }

  /**
   * Routes a request to its home.
   *
   * @param submission the request
   * @param answer receives the final result, on the control thread
   */
  public void route(Submission submission, Consumer<WorkResult> answer) {
    new RoutedRequest(submission, answer).attempt();
  }

  /** The state of one request while it is routed. */
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
      boolean isLost = result.refusal().isEmpty() && result.outcome() == Outcome.UNKNOWN;
      if (isLost) {
        losses++;
        submission = submission.withPossibleEarlierRun();
      }
      boolean isRetryable = isLost ? isRetryableAfterLoss() : isTransientRefusal(result);
      long untilMillis = isLost ? submission.item().deadlineMillis() : retryUntilMillis;
      boolean isInTime = timers.nowMillis() + RETRY_DELAY.toMillis() < untilMillis;
      if (isRetryable && isInTime) {
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
      LOGGER.log(
          Level.WARNING,
          "entry: could not forward {0} to its home: {1}",
          key(),
          error.getMessage());
      return new WorkResult.Answered(
          Outcome.UNKNOWN, "internal error: " + error.getMessage(), new byte[0]);
    }

    private WorkKey key() {
      return submission.item().key();
    }
  }
}
