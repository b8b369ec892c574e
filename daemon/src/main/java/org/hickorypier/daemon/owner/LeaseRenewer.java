package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.ContactWindow;
import org.hickorypier.core.cell.RenewalInterval;
import org.hickorypier.core.cell.RenewalReport;
import org.hickorypier.core.cell.WorkerTimeout;
import org.hickorypier.core.cell.WorkerView;
import org.hickorypier.platform.execution.LeaseRenewal;
import org.hickorypier.platform.execution.WorkerCallException;

/**
 * Renews the lease of one worker: one renewal after another, each of which waits at the worker for
 * the next end of a run.
 *
 * <p>Confined to the control thread.
 */
final class LeaseRenewer {

  /**
   * The wait at the worker while the roster that allows the next renewal to carry a lease is being
   * written.
   */
  private static final long ROSTER_WAIT_MILLIS = 100;

  /** Ends within this time share one answer, since each renewal has a cost. */
  private static final Duration RENEWAL_DELAY = Duration.ofMillis(40);

  /**
   * The delay between renewals while ends wait for the store. Until they are durable the worker
   * answers at once, and each renewal has a cost. Waiting for a store that takes 0.25 s an answer
   * would put off the news of each further end by as much, half of what a short check has to spare.
   */
  private static final Duration UNSAVED_RENEWAL_DELAY = Duration.ofMillis(100);

  /**
   * After the first lost answer the worker is asked again almost at once, over a new connection.
   */
  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(10);

  /** The delay before a worker that still does not answer is asked again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private final OwnerDependencies dependencies;
  private final Cell cell;
  private final WorkerView worker;
  private final BooleanSupplier mayOrder;
  private final WorkerTimeout timeout;
  private final ContactWindow contactWindow;
  private final Events events;
  private boolean stopped;

  /** The events that the owner is told of. */
  interface Events {

    /** The worker has reported what it runs. */
    void workerAnswered();

    /** The worker has seen a higher fencing token. */
    void fenced(String worker);

    /** Runs an action once all that was saved before is durable. */
    void afterSave(Runnable action);
  }

  LeaseRenewer(
      OwnerDependencies dependencies,
      Cell cell,
      WorkerView worker,
      BooleanSupplier mayOrder,
      WorkerTimeout timeout,
      ContactWindow contactWindow,
      Events events) {
    this.dependencies = dependencies;
    this.cell = cell;
    this.worker = worker;
    this.mayOrder = mayOrder;
    this.timeout = timeout;
    this.contactWindow = contactWindow;
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
    if (!cell.isKnown(worker)) {
      stopped = true;
      return;
    }
    if (!mayOrder.getAsBoolean()) {
      dependencies.timers().after(RETRY_DELAY, this::renew);
      return;
    }
    if (worker.hasAnswered()) {
      send(ignored -> {}, () -> {});
    } else {
      contactWindow.begin(this::sendFirst);
    }
  }

  /** Calls a worker that has not answered yet; the room in the window is given back in any case. */
  private void sendFirst() {
    if (stopped || !cell.isKnown(worker) || !mayOrder.getAsBoolean()) {
      contactWindow.unanswered();
      renew();
    } else {
      send(contactWindow::answered, contactWindow::unanswered);
    }
  }

  /**
   * Sends a renewal.
   *
   * @param onAnswer receives the time from the renewal to its answer, in milliseconds
   * @param onFailure runs if there is no answer
   */
  private void send(LongConsumer onAnswer, Runnable onFailure) {
    long sentAt = dependencies.timers().nowMillis();
    long deadline = worker.nextDeadline(sentAt, dependencies.timings().leaseMillis());
    long wait = waitMillis(deadline);
    long token = worker.fencingToken();
    dependencies
        .workers()
        .renewLease(
            new LeaseRenewal(
                worker.id(),
                worker.entry().address(),
                deadline,
                token,
                worker.acknowledgedEnd(sentAt),
                wait),
            timeout.millis(),
            this::handleLateReport)
        .onComplete(
            report -> {
              try {
                handleReport(report, sentAt, wait);
              } finally {
                onAnswer.accept(dependencies.timers().nowMillis() - sentAt);
              }
            },
            error -> {
              handleFailure(error, token, sentAt, wait);
              onFailure.run();
            });
  }

  private long waitMillis(long deadline) {
    if (worker.waitsForRoster()) {
      return ROSTER_WAIT_MILLIS;
    }
    // No lease can be requested without a reading of the worker's clock, so the first answer is
    // wanted at once.
    return deadline < 0 && !worker.needsNoLease()
        ? 0
        : RenewalInterval.waitMillis(cell.workerCount(), dependencies.linkBytesPerSecond());
  }

  private void handleReport(RenewalReport report, long sentAt, long wait) {
    if (stopped) {
      return;
    }
    long now = dependencies.timers().nowMillis();
    if (now - sentAt >= wait) {
      timeout.record(now - sentAt - wait);
    }
    try {
      cell.renewalAnswered(worker, report, sentAt, now);
      events.workerAnswered();
    } catch (RuntimeException error) {
      // Without further renewals the lease would expire, and the worker would stop all its runs.
      dependencies.timers().after(RETRY_DELAY, this::renew);
      throw error;
    }
    if (wait == 0) {
      renew();
    } else if (report.ended().isEmpty()) {
      dependencies
          .timers()
          .after(now - sentAt < wait / 2 ? RENEWAL_DELAY : Duration.ZERO, this::renew);
    } else {
      // Until the ends are durable the worker would list them again, at once. While the store is
      // unavailable the lease must still be renewed, or the worker would stop all its runs.
      Once next = new Once(this::renew);
      events.afterSave(() -> dependencies.timers().after(RENEWAL_DELAY, next));
      dependencies.timers().after(UNSAVED_RENEWAL_DELAY, next);
    }
  }

  /**
   * Handles a report that arrives after its timeout. It is no sign of life, but the ends in it
   * count: otherwise a task that has ended would run again once the lease of its worker has
   * expired.
   */
  private void handleLateReport(RenewalReport report) {
    if (!stopped) {
      cell.renewalAnsweredLate(worker, report, dependencies.timers().nowMillis());
      events.workerAnswered();
    }
  }

  /** Runs an action on the first call only. */
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

  private void handleFailure(Throwable error, long token, long sentAt, long wait) {
    if (stopped) {
      return;
    }
    if (error instanceof WorkerCallException refusal
        && refusal.isFenced()
        && token == worker.fencingToken()) {
      events.fenced(worker.id());
      return;
    }
    long now = dependencies.timers().nowMillis();
    timeout.record(now - sentAt - wait);
    if (dependencies.delayMonitor().wasDelayedSince(sentAt)) {
      // The answer may lie unread, and the task of a worker that is well must not run again.
      dependencies.timers().after(RETRY_DELAY, this::renew);
      return;
    }
    boolean alreadySilent = worker.silent();
    cell.renewalUnanswered(worker, now);
    dependencies.timers().after(alreadySilent ? RETRY_DELAY : FIRST_RETRY_DELAY, this::renew);
  }
}
