package org.hickorypier.daemon.node;

import io.vertx.core.Future;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.daemon.front.DrainReport;

/**
 * The end of a process: the cell is handed over, the callers are sent away, what they still ask is
 * answered.
 *
 * <p>Invariant: it is over before the platform kills the process, whatever hangs. Runs on a thread
 * of its own, the process's shutdown hook; a second signal changes nothing, since the runtime runs
 * its hooks once.
 */
final class GracefulShutdown {

  private static final String PART = "node";

  /** Left of the time to end for the last connections, the log and the runtime itself. */
  private static final long EXIT_RESERVE_MILLIS = 900;

  /** Of the reserve; the log takes 100 ms at most, and a slow machine all else. */
  private static final long CLOSE_TIMEOUT_MILLIS = 600;

  /** Of the reserve; it is done in one turn of the control thread. */
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

  /** Runs until the callers have gone, or the time that a process has to end is nearly over. */
  void run() {
    DrainReport before = node.drainReport();
    log.event(
        PART,
        "stopping",
        "grace_ms",
        graceMillis,
        "connections",
        before.connections(),
        "open",
        before.open());
    long most = Math.max(0, graceMillis - EXIT_RESERVE_MILLIS);
    long endsAt = startNanos + TimeUnit.MILLISECONDS.toNanos(most);
    Future<Void> left = node.leave(node.controlContext(), endsAt);
    boolean cellLeft = await(left, most);
    long cellLeftMillis = elapsedMillis();
    boolean callersGone = await(node.callersDisconnected(), most - elapsedMillis());
    logProgress(
        "stopped", "cell_left_ms", cellLeft ? cellLeftMillis : -1, "callers_gone", callersGone);
    boolean closed = await(node.closeFront(), CLOSE_TIMEOUT_MILLIS);
    await(node.stepDown(), STEP_DOWN_TIMEOUT_MILLIS);
    logProgress("closed", "in_time", closed, "grace_ms", graceMillis);
  }

  private void logProgress(
      String event, String name, Object value, String other, Object otherValue) {
    DrainReport report = node.drainReport();
    log.event(
        PART,
        event,
        "after_ms",
        elapsedMillis(),
        name,
        value,
        other,
        otherValue,
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
