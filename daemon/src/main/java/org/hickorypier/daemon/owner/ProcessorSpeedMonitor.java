package org.hickorypier.daemon.owner;

import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * How long a fixed piece of work takes on this machine, now and usually.
 *
 * <p>Failure: a machine turns several times slower, by its neighbours or its allowance, and goes on
 * answering. Symptom: as the owner of the cell it falls behind, all other instances suspect it, and
 * callers wait through one takeover after another. Safeguard: instances compare how long the same
 * work takes them; it is enough because the work is the same on all and needs nothing but the
 * processor. Belongs to the control thread.
 */
public final class ProcessorSpeedMonitor {

  /** Some 20 us of work on a usual machine; the clock tells microseconds. */
  private static final int ADDITIONS = 20_000;

  /** Half a minute of samples: longer than most spells, so that these do not become the usual. */
  private static final int MAX_SAMPLES = 128;

  /** An interruption makes one sample longer, seldom four in a row. */
  private static final int RECENT_SAMPLES = 4;

  /** The work is done so many times for one measure. */
  private static final int ATTEMPTS_PER_MEASUREMENT = 3;

  /** The first seconds of a process are slower than all later ones. */
  private static final int MIN_SAMPLES = 16;

  /**
   * A process may take up to three times as long once its first seconds are over, without any harm
   * to its machine.
   */
  private static final double SLOWED_FACTOR = 3.5;

  private static final long NANOS_PER_MICRO = 1_000;

  /** Keeps the work from being left out by the compiler. */
  private static volatile long result;

  private final LongSupplier workload;
  private final long[] samplesNanos = new long[MAX_SAMPLES];
  private int sampleCount;

  /**
   * Creates the pace.
   *
   * @param workNanos does the piece of work and returns how long it took, in nanoseconds
   */
  public ProcessorSpeedMonitor(LongSupplier workNanos) {
    this.workload = workNanos;
  }

  /**
   * Does the piece of work.
   *
   * @return how long it took, in nanoseconds
   */
  public static long runWorkload() {
    long begun = System.nanoTime();
    long sum = begun;
    for (int count = 0; count < ADDITIONS; count++) {
      sum = sum * 31 + count;
    }
    result = sum;
    return System.nanoTime() - begun;
  }

  /** Takes a sample; called in regular periods. */
  public void sample() {
    samplesNanos[sampleCount % MAX_SAMPLES] = workload.getAsLong();
    sampleCount++;
  }

  /**
   * Measures anew.
   *
   * @return the least of a few attempts, in microseconds
   */
  public int measureMicros() {
    long least = Long.MAX_VALUE;
    for (int attempt = 0; attempt < ATTEMPTS_PER_MEASUREMENT; attempt++) {
      least = Math.min(least, workload.getAsLong());
    }
    return (int) Math.min(Integer.MAX_VALUE, Math.max(1, least / NANOS_PER_MICRO));
  }

  /**
   * Tells whether this machine is much slower than it usually is.
   *
   * @return true while the work takes several times as long
   */
  public boolean isSlowed() {
    if (sampleCount < MIN_SAMPLES) {
      return false;
    }
    long recent = Long.MAX_VALUE;
    for (int back = 1; back <= RECENT_SAMPLES; back++) {
      recent = Math.min(recent, samplesNanos[(sampleCount - back) % MAX_SAMPLES]);
    }
    return recent > SLOWED_FACTOR * medianNanos();
  }

  private long medianNanos() {
    long[] sorted = Arrays.copyOf(samplesNanos, Math.min(sampleCount, MAX_SAMPLES));
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }
}
