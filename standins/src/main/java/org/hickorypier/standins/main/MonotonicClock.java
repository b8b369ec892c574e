package org.hickorypier.standins.main;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The time in milliseconds, which never runs backwards and agrees between processes of one machine
 * that were started with the same time of day.
 *
 * <p>Thread safe.
 */
public final class MonotonicClock implements LongSupplier {

  private final long startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  @Override
  public long getAsLong() {
    return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
