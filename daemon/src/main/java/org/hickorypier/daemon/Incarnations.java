package org.hickorypier.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Runs an instance as one incarnation after another, on the same ports.
 *
 * <p>Thread safe. Invariants: at most one incarnation runs; each has a higher number than those
 * before. Load: an instance that is paused past the peer timeout is fenced off by the others, who
 * free its permits. Harm prevented: it wakes, claims its workers and is home of its share of the
 * work again, but no incarnation that was fenced off may start anything, so all of it would wait in
 * vain until the process ends.
 */
final class Incarnations implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(Incarnations.class.getName());

  /**
   * Between the end of an incarnation and the start of the next its ports are free, and any
   * connection that leaves this machine may be given one of them for a while.
   */
  private static final Duration TRY_AGAIN = Duration.ofMillis(100);

  private static final int TRIES = 100;

  /** Makes an incarnation. */
  @FunctionalInterface
  interface Factory {

    /**
     * Makes it; nothing runs yet.
     *
     * @param httpPort the port for callers and operators, 0 for the one in the settings
     * @param peerPort the port for the other instances, 0 for the one in the settings
     * @param number the incarnation's number
     * @param onFenced is told once if it was fenced off
     * @return the incarnation
     */
    Incarnation create(int httpPort, int peerPort, long number, Runnable onFenced);
  }

  private final Factory factory;
  private final LongSupplier wallClock;
  private final Executor renewer;
  private final Consumer<Duration> pause;
  private final Consumer<Throwable> failed;
  private Incarnation current;
  private DaemonAddress address;
  private long number;
  private boolean closed;

  /**
   * Creates it; nothing runs yet.
   *
   * @param factory makes the incarnations
   * @param wallClock numbers them, in milliseconds
   * @param renewer runs the changes from one to the next, which block
   * @param pause blocks its caller for a time
   * @param failed hears if a later incarnation could not be started
   */
  Incarnations(
      Factory factory,
      LongSupplier wallClock,
      Executor renewer,
      Consumer<Duration> pause,
      Consumer<Throwable> failed) {
    this.factory = factory;
    this.wallClock = wallClock;
    this.renewer = renewer;
    this.pause = pause;
    this.failed = failed;
  }

  /**
   * Starts the first incarnation.
   *
   * @return where it listens, as all later ones do
   * @throws DaemonStartException if a port cannot be opened
   */
  synchronized DaemonAddress start() throws DaemonStartException {
    startNext(0, 0);
    return address;
  }

  /** Ends the present incarnation gracefully; no other follows. Idempotent. */
  @Override
  public synchronized void close() {
    if (!closed && current != null) {
      current.close();
    }
    closed = true;
  }

  private void startNext(int httpPort, int peerPort) throws DaemonStartException {
    // The clock may have been set back; a lower number would be fenced off at once.
    number = Math.max(number + 1, wallClock.getAsLong());
    long own = number;
    current = factory.create(httpPort, peerPort, own, () -> renewer.execute(() -> renewAfter(own)));
    address = current.start();
  }

  // A listener that ends the process must not hold the lock, which the shutdown needs too.
  private void renewAfter(long fenced) {
    try {
      renew(fenced);
    } catch (DaemonStartException | RuntimeException | LinkageError error) {
      // Also if a class cannot be loaded any more, as when the program's files were replaced: an
      // instance that stays between two incarnations is a home that takes nothing.
      failed.accept(error);
    }
  }

  private synchronized void renew(long fenced) throws DaemonStartException {
    if (closed || fenced != number) {
      return;
    }
    LOGGER.log(Level.WARNING, "daemon: {0} starts anew", address.name());
    current.abandon();
    for (int tried = 1; tried < TRIES; tried++) {
      try {
        startNext(address.httpPort(), address.peerPort());
        return;
      } catch (DaemonStartException error) {
        LOGGER.log(Level.WARNING, "daemon: not started yet: {0}", error.getMessage());
        pause.accept(TRY_AGAIN);
      }
    }
    startNext(address.httpPort(), address.peerPort());
  }
}
