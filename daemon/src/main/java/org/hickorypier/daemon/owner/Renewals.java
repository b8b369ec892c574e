package org.hickorypier.daemon.owner;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.HoldReport;
import org.hickorypier.core.cell.WorkerView;
import org.hickorypier.platform.execution.Renewal;
import org.hickorypier.platform.execution.WorkerCallException;

/**
 * The conversation with one worker: one renewal after another, each waiting for the next end.
 *
 * <p>Belongs to the control thread.
 */
final class Renewals {

  /**
   * A worker answers at the latest after this time, or at once when a run ends. A busy worker ends
   * some four runs a second, so it rarely waits; when an answer is lost, nothing is known of its
   * ends until it is given up, and short checks on it come too late.
   */
  private static final long WAIT_MILLIS = 400;

  /** The wait while a roster is being written that allows the next renewal to carry a lease. */
  private static final long ROSTER_WAIT_MILLIS = 100;

  /**
   * Ends that come within this time are told in one answer; each look at a worker has its price.
   */
  private static final Duration PACE = Duration.ofMillis(40);

  /**
   * Pace of renewals while ends wait for the store. Until they are durable the worker answers at
   * once, and each look has its price; but a store that takes 0.25 s an answer would put off the
   * news of each further end by as much, half of what a short check has to spare.
   */
  private static final Duration UNSAVED_PACE = Duration.ofMillis(100);

  /** After one lost answer the worker is asked again at once, over a new connection. */
  private static final Duration FIRST_RETRY = Duration.ofMillis(10);

  /** A worker that does not answer is asked again after this time. */
  private static final Duration RETRY = Duration.ofMillis(250);

  private final Instruments instruments;
  private final Cell cell;
  private final WorkerView worker;
  private final long token;
  private final BooleanSupplier mayOrder;
  private final Events events;
  private boolean stopped;

  /** What the owner hears of the conversation. */
  interface Events {

    /** The worker has told what it runs. */
    void answered();

    /** The worker has seen a higher token. */
    void fenced(String worker);

    /** Runs something once all that was saved is durable. */
    void afterSave(Runnable action);
  }

  Renewals(
      Instruments instruments,
      Cell cell,
      WorkerView worker,
      long token,
      BooleanSupplier mayOrder,
      Events events) {
    this.instruments = instruments;
    this.cell = cell;
    this.worker = worker;
    this.token = token;
    this.mayOrder = mayOrder;
    this.events = events;
  }

  boolean of(WorkerView other) {
    return worker == other;
  }

  boolean finished() {
    return stopped;
  }

  void stop() {
    stopped = true;
  }

  void start() {
    if (stopped) {
      return;
    }
    if (!cell.isKnown(worker)) {
      stopped = true;
      return;
    }
    if (!mayOrder.getAsBoolean()) {
      instruments.timers().after(RETRY, this::start);
      return;
    }
    long sentAt = instruments.timers().nowMillis();
    long deadline = worker.nextDeadline(sentAt, instruments.terms().leaseMillis());
    long wait = waitMillis(deadline);
    instruments
        .workers()
        .hold(
            new Renewal(
                worker.id(),
                worker.entry().address(),
                deadline,
                token,
                worker.acknowledged(sentAt),
                wait))
        .onComplete(report -> answered(report, sentAt, wait), this::failed);
  }

  private long waitMillis(long deadline) {
    if (worker.waitsForRoster()) {
      return ROSTER_WAIT_MILLIS;
    }
    // Without a reading of the worker's clock no lease can be asked for: the first answer is
    // wanted at once.
    return deadline < 0 ? 0 : WAIT_MILLIS;
  }

  private void answered(HoldReport report, long sentAt, long wait) {
    if (stopped) {
      return;
    }
    long now = instruments.timers().nowMillis();
    cell.renewalAnswered(worker, report, sentAt, now);
    events.answered();
    if (wait == 0) {
      start();
    } else if (report.ended().isEmpty()) {
      instruments.timers().after(now - sentAt < wait / 2 ? PACE : Duration.ZERO, this::start);
    } else {
      // Until the ends are durable the worker would list them again, at once. But while the store
      // is
      // away the lease must go on, or all that runs would be thrown away.
      Once next = new Once(this::start);
      events.afterSave(() -> instruments.timers().after(PACE, next));
      instruments.timers().after(UNSAVED_PACE, next);
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

  private void failed(Throwable error) {
    if (stopped) {
      return;
    }
    if (error instanceof WorkerCallException refusal && refusal.fenced()) {
      events.fenced(worker.id());
      return;
    }
    boolean again = worker.silent();
    cell.renewalUnanswered(worker, instruments.timers().nowMillis());
    instruments.timers().after(again ? RETRY : FIRST_RETRY, this::start);
  }
}
