package org.hickorypier.core.cell;

/**
 * A token bucket that tells whether a customer's submissions are within its share; it holds the
 * tokens of one second, and at least one.
 *
 * <p>Confined to the control thread.
 */
final class ShareTokenBucket {

  private static final double MILLIS_PER_SECOND = 1_000;

  private double tokens;
  private long refilledAt;

  ShareTokenBucket(long now) {
    this.refilledAt = now;
    this.tokens = Double.MAX_VALUE;
  }

  /** Returns whether a token is left, without taking it. */
  boolean hasToken(double perSecond, long now) {
    refill(perSecond, now);
    return tokens >= 1;
  }

  private void refill(double perSecond, long now) {
    double filled = tokens + (now - refilledAt) * perSecond / MILLIS_PER_SECOND;
    tokens = Math.min(Math.max(1, perSecond), filled);
    refilledAt = now;
  }

  boolean tryTake(double perSecond, long now) {
    refill(perSecond, now);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
