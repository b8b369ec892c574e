package org.hickorypier.measure.soak;

import io.vertx.core.Future;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Lets the main thread of a soak wait for what runs elsewhere. Stateless. */
final class Waiting {

  private static final long MOST_SECONDS = 20;

  private Waiting() {}

  static <T> T forResult(Future<T> future) throws SoakException {
    try {
      return future.toCompletionStage().toCompletableFuture().get(MOST_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException error) {
      throw new SoakException("no result: " + error, error);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new SoakException("interrupted", error);
    }
  }

  /** A condition that may fail to be checked. */
  @FunctionalInterface
  interface Condition {

    boolean holds() throws SoakException;
  }

  /** Waits for a condition; returns false if it does not come about in time. */
  static boolean until(long millis, Condition condition) throws SoakException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (!condition.holds()) {
      if (System.nanoTime() > end) {
        return false;
      }
      pause(50);
    }
    return true;
  }

  static void pause(long millis) throws SoakException {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new SoakException("interrupted", error);
    }
  }
}
