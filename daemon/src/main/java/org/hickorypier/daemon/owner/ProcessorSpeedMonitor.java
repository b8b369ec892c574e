package org.hickorypier.daemon.owner;

import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * Measures how long a fixed workload takes on this machine, now and usually.
 *
 * <p>A machine can become several times slower, because of other load on its host or a CPU limit,
 * and still answer. If it owns the cell, it falls behind, all other instances suspect it, and
 * callers wait through one takeover after another. Instances therefore compare how long the same
 * workload takes them. This suffices because the workload is the same on all and needs only the
 * processor. Confined to the control thread.
 */
public final class ProcessorSpeedMonitor {

  /** Some 100 us of work on a usual machine, and a sixth of that on a strong one. */
  private static final int ADDITIONS = 100_000;

  /**
   * Half a minute of samples: longer than most slowdowns, so that these do not become the median.
   */
  private static final int MAX_SAMPLES = 128;

  /**
   * Number of latest samples that must all be slow. An interruption makes one sample longer, rarely
   * four in a row.
   */
  private static final int RECENT_SAMPLES = 4;

  private static final int ATTEMPTS_PER_MEASUREMENT = 3;

  /** The first seconds of a process are slower than all later ones. */
  private static final int MIN_SAMPLES = 16;

  /**
   * Factor over the median from which the machine counts as slowed. The workload may take up to
   * three times as long once the first seconds of a process are over, although its machine is not
   * impaired.
   */
  private static final double SLOWED_FACTOR = 3.5;

  private static final long NANOS_PER_MICRO = 1_000;

  /** The clock may resolve microseconds only, so a duration may be off by one. */
  private static final long CLOCK_RESOLUTION_NANOS = NANOS_PER_MICRO;

  /** Prevents the compiler from eliminating the workload. */
  private static volatile long result;

  private final LongSupplier workload;
  private final long[] samplesNanos = new long[MAX_SAMPLES];
  private int sampleCount;

  /**
   * Creates the monitor.
   *
   * @param workload runs the workload and returns its duration in nanoseconds
   */
  public ProcessorSpeedMonitor(LongSupplier workload) {
    this.workload = workload;
  }

  /**
   * Runs the workload.
   *
   * @return its duration in nanoseconds
   */
  public static long runWorkload() {
    long startNanos = System.nanoTime();
    long sum = startNanos;
    for (int count = 0; count < ADDITIONS; count++) {
      sum = sum * 31 + count;
    }
    result = sum;
    return System.nanoTime() - startNanos;
  }

  /** Runs the workload once and records its duration. Called at regular intervals. */
  public void sample() {
    samplesNanos[sampleCount % MAX_SAMPLES] = workload.getAsLong();
    sampleCount++;
  }

  /**
   * Measures the present duration of the workload.
   *
   * @return the shortest of a few attempts, in microseconds; at least 1
   */
  public int measureMicros() {
    long fastestNanos = Long.MAX_VALUE;
    for (int attempt = 0; attempt < ATTEMPTS_PER_MEASUREMENT; attempt++) {
      fastestNanos = Math.min(fastestNanos, workload.getAsLong());
    }
    return (int) Math.min(Integer.MAX_VALUE, Math.max(1, fastestNanos / NANOS_PER_MICRO));
  }

  /**
   * Returns whether this machine is much slower than usual.
   *
   * @return true while the workload takes several times as long; false before there are enough
   *     samples
   */
  public boolean isSlowed() {
    if (sampleCount < MIN_SAMPLES) {
      return false;
    }
    long recentNanos = Long.MAX_VALUE;
    for (int back = 1; back <= RECENT_SAMPLES; back++) {
      recentNanos = Math.min(recentNanos, samplesNanos[(sampleCount - back) % MAX_SAMPLES]);
    }
    return recentNanos - CLOCK_RESOLUTION_NANOS
        > SLOWED_FACTOR * (medianNanos() + CLOCK_RESOLUTION_NANOS);
  }

  private long medianNanos() {
    long[] sorted = Arrays.copyOf(samplesNanos, Math.min(sampleCount, MAX_SAMPLES));
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }
}
