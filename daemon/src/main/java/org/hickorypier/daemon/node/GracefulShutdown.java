package org.hickorypier.daemon.node;

import io.vertx.core.Future;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.front.DrainReport;

/**
 * Shuts an instance down gracefully: hands the cell over and drains the callers' connections, while
 * requests that still arrive are answered.
 *
 * <p>Invariant: the shutdown finishes before the platform kills the process, even if a step hangs.
 * Confined to the thread of the process's shutdown hook; a second signal has no effect, since the
 * runtime runs its hooks once.
 */
final class GracefulShutdown {

  private static final String PART = "node";

  /** Part of the grace period kept for the last connections, the log and the runtime's exit. */
  private static final long EXIT_RESERVE_MILLIS = 900;

  /**
   * Part of the reserve for closing connections. Of what remains the log takes at most 100 ms, and
   * the rest is margin for a slow machine.
   */
  private static final long CLOSE_TIMEOUT_MILLIS = 600;

  /** Part of the reserve. Stepping down takes one task of the control thread. */
  private static final long STEP_DOWN_TIMEOUT_MILLIS = 50;

  private final Node node;
  private final long graceMillis;
  private final EventLog log;
  private final long startNanos = System.nanoTime();

  GracefulShutdown(Node node, long graceMillis, EventLog log) {
    this.node = node;
    this.graceMillis = graceMillis;
    this.log = log;
  }

  /**
   * Blocks until the callers have disconnected and their server is closed, or the grace period,
   * less the time that the log and the runtime's exit take, has passed.
   */
  void run() {
    DrainReport initialReport = node.drainReport();
    log.event(
        PART,
        "stopping",
        "grace_ms",
        graceMillis,
        "connections",
        initialReport.connections(),
        "open",
        initialReport.open());
    long drainMillis = Math.max(0, graceMillis - EXIT_RESERVE_MILLIS);
    long drainDeadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(drainMillis);
    Future<Void> handover = node.leave(node.controlContext(), drainDeadlineNanos);
    boolean cellHandedOver = await(handover, drainMillis);
    long handoverMillis = elapsedMillis();
    boolean callersDrained = await(node.callersDisconnected(), drainMillis - elapsedMillis());
    logProgress(
        "stopped",
        "cell_left_ms",
        cellHandedOver ? handoverMillis : -1,
        "callers_gone",
        callersDrained);
    boolean closed = await(node.closeFront(), CLOSE_TIMEOUT_MILLIS);
    await(node.stepDown(), STEP_DOWN_TIMEOUT_MILLIS);
    logProgress("closed", "in_time", closed, "grace_ms", graceMillis);
  }

  private void logProgress(
      String event, String field, Object value, String secondField, Object secondValue) {
    DrainReport report = node.drainReport();
    log.event(
        PART,
        event,
        "after_ms",
        elapsedMillis(),
        field,
        value,
        secondField,
        secondValue,
        "connections",
        report.connections(),
        "open",
        report.open(),
        "read",
        report.read(),
        "answered",
        report.answered(),
        "closed_unused",
        report.closedUnused(),
        "without_outcome",
        report.withoutOutcome());
  }

  private static boolean await(Future<Void> future, long millis) {
    CountDownLatch done = new CountDownLatch(1);
    future.onComplete(result -> done.countDown());
    try {
      return done.await(Math.max(0, millis), TimeUnit.MILLISECONDS);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
