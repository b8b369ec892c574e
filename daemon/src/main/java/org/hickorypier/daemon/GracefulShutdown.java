package org.hickorypier.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hickorypier.daemon.entry.ReadinessCheck;
import org.hickorypier.daemon.time.ControlThread;
import org.hickorypier.daemon.work.WorkService;

/**
 * Ends a daemon without cutting a request: no new work, requests in progress finish, then the
 * servers close. Jobs are left to the instances that take over. Thread safe.
 */
final class GracefulShutdown {

  private static final Logger LOGGER = System.getLogger(GracefulShutdown.class.getName());

  private final ControlThread control;
  private final ReadinessCheck readiness;
  private final WorkService work;
  private final HttpFront front;
  private final long shutdownMillis;

  GracefulShutdown(
      ControlThread control,
      ReadinessCheck readiness,
      WorkService work,
      HttpFront front,
      long shutdownMillis) {
    this.control = control;
    this.readiness = readiness;
    this.work = work;
    this.front = front;
    this.shutdownMillis = shutdownMillis;
  }

  /** Returns once everything has stopped, at the latest after the time for shutdowns. */
  void run() {
    LOGGER.log(Level.INFO, "daemon: shutting down");
    long until = control.nowMillis() + shutdownMillis;
    CountDownLatch idle = new CountDownLatch(1);
    control.execute(
        () -> {
          readiness.shutDown();
          control.every(
              Duration.ofMillis(DaemonConstants.TICK_MILLIS),
              () -> {
                if (work.openRequests() == 0) {
                  idle.countDown();
                }
              });
        });
    try {
      if (!idle.await(shutdownMillis, TimeUnit.MILLISECONDS)) {
        LOGGER.log(
            Level.WARNING, "daemon: requests were still open at the end of the shutdown time");
      }
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
    }
    long left = Math.max(DaemonConstants.TICK_MILLIS, until - control.nowMillis());
    front.stop(Duration.ofMillis(left));
    control.close();
    LOGGER.log(Level.INFO, "daemon: stopped");
  }
}
