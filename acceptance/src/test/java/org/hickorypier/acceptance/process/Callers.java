package org.hickorypier.acceptance.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.hickorypier.measure.fleet.CallerAnswer;
import org.hickorypier.measure.fleet.EntryProcess;
import org.hickorypier.measure.fleet.Fleet;
import org.hickorypier.measure.fleet.RequestForm;

/**
 * Callers of one team that post requests in the background.
 *
 * <p>Thread safe.
 */
final class Callers implements AutoCloseable {

  private static final long BOUND_SECONDS = 40;
  private static final long REPEAT_SECONDS = 20;

  private final Fleet fleet;
  private final String key;
  private final ExecutorService threads = Executors.newCachedThreadPool();

  Callers(Fleet fleet, String key) {
    this.fleet = fleet;
    this.key = key;
  }

  /** Posts a request once. */
  CompletableFuture<CallerAnswer> post(EntryProcess entry, RequestForm form) {
    return CompletableFuture.supplyAsync(() -> fleet.call(entry, key, form), threads)
        .orTimeout(BOUND_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Posts a request and repeats it under the same id until it has completed; else returns the last
   * answer.
   */
  CompletableFuture<CallerAnswer> postUntilCompleted(EntryProcess entry, RequestForm form) {
    return CompletableFuture.supplyAsync(() -> repeat(entry, form), threads)
        .orTimeout(BOUND_SECONDS, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }

  private CallerAnswer repeat(EntryProcess entry, RequestForm form) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(REPEAT_SECONDS);
    CallerAnswer answer = fleet.call(entry, key, form);
    while (!answer.completed() && System.nanoTime() < end) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(200));
      answer = fleet.call(entry, key, form);
    }
    return answer;
  }
}
