package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.RenewalReport;
import org.hickorypier.core.cell.WorkerView;
import org.hickorypier.platform.execution.LeaseRenewal;
import org.hickorypier.platform.execution.WorkerCallException;

/**
 * The conversation with one worker: one renewal after another, each waiting for the next end.
 *
 * <p>Belongs to the control thread.
 */
final class LeaseRenewer {

  /**
   * A worker answers at the latest after this time, or at once when a run ends. A busy worker ends
   * some four runs a second, so it rarely waits; when an answer is lost, nothing is known of its
   * ends until it is given up, and short checks on it come too late.
   */
  private static final long ANSWER_WAIT_MILLIS = 400;

  /** The wait while a roster is being written that allows the next renewal to carry a lease. */
  private static final long ROSTER_WAIT_MILLIS = 100;

  /**
   * Ends that come within this time are told in one answer; each look at a worker has its price.
   */
  private static final Duration RENEWAL_DELAY = Duration.ofMillis(40);

  /**
   * Pace of renewals while ends wait for the store. Until they are durable the worker answers at
   * once, and each look has its price; but a store that takes 0.25 s an answer would put off the
   * news of each further end by as much, half of what a short check has to spare.
   */
  private static final Duration UNSAVED_RENEWAL_DELAY = Duration.ofMillis(100);

  /** After one lost answer the worker is asked again at once, over a new connection. */
  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(10);

  /** A worker that does not answer is asked again after this time. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private final OwnerDependencies instruments;
  private final Cell cell;
  private final WorkerView worker;
  private final long fencingToken;
  private final BooleanSupplier mayOrder;
  private final Events events;
  private boolean stopped;

  /** What the owner hears of the conversation. */
  interface Events {

    /** The worker has told what it runs. */
    void workerAnswered();

    /** The worker has seen a higher token. */
    void fenced(String worker);

    /** Runs something once all that was saved is durable. */
    void afterSave(Runnable action);
  }

  LeaseRenewer(
      OwnerDependencies instruments,
      Cell cell,
      WorkerView worker,
      long token,
      BooleanSupplier mayOrder,
      Events events) {
    this.instruments = instruments;
    this.cell = cell;
    this.worker = worker;
    this.fencingToken = token;
    this.mayOrder = mayOrder;
    this.events = events;
  }

  boolean isFor(WorkerView other) {
    return worker == other;
  }

  boolean isStopped() {
    return stopped;
  }

  void stop() {
    stopped = true;
  }

  void renew() {
    if (stopped) {
      return;
    }
    if (!cell.knows(worker)) {
      stopped = true;
      return;
    }
    if (!mayOrder.getAsBoolean()) {
      instruments.timers().after(RETRY_DELAY, this::renew);
      return;
    }
    long sentAt = instruments.timers().nowMillis();
    long deadline = worker.nextDeadline(sentAt, instruments.terms().leaseMillis());
    long wait = waitMillis(deadline);
    instruments
        .workers()
        .renewLease(
            new LeaseRenewal(
                worker.id(),
                worker.entry().address(),
                deadline,
                fencingToken,
                worker.acknowledgedEnd(sentAt),
                wait))
        .onComplete(report -> handleReport(report, sentAt, wait), this::handleFailure);
  }

  private long waitMillis(long deadline) {
    if (worker.waitsForRoster()) {
      return ROSTER_WAIT_MILLIS;
    }
    // Without a reading of the worker's clock no lease can be asked for: the first answer is
    // wanted at once.
    return deadline < 0 ? 0 : ANSWER_WAIT_MILLIS;
  }

  private void handleReport(RenewalReport report, long sentAt, long wait) {
    if (stopped) {
      return;
    }
    long now = instruments.timers().nowMillis();
    cell.held(worker, report, sentAt, now);
    events.workerAnswered();
    if (wait == 0) {
      renew();
    } else if (report.ended().isEmpty()) {
      instruments
          .timers()
          .after(now - sentAt < wait / 2 ? RENEWAL_DELAY : Duration.ZERO, this::renew);
    } else {
      // Until the ends are durable the worker would list them again, at once. But while the store
      // is
      // away the lease must go on, or all that runs would be thrown away.
      Once next = new Once(this::renew);
      events.afterSave(() -> instruments.timers().after(RENEWAL_DELAY, next));
      instruments.timers().after(UNSAVED_RENEWAL_DELAY, next);
    }
  }

  /** Runs an action the first time only. */
  private static final class Once implements Runnable {

    private final Runnable action;
    private boolean ran;

    Once(Runnable action) {
      this.action = action;
    }

    @Override
    public void run() {
      if (!ran) {
        ran = true;
        action.run();
      }
    }
  }

  private void handleFailure(Throwable error) {
    if (stopped) {
      return;
    }
    if (error instanceof WorkerCallException refusal && refusal.isFenced()) {
      events.fenced(worker.id());
      return;
    }
    boolean again = worker.silent();
    cell.holdUnanswered(worker, instruments.timers().nowMillis());
    instruments.timers().after(again ? RETRY_DELAY : FIRST_RETRY_DELAY, this::renew);
  }
}
