package org.hickorypier.daemon.entry;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Takes new work only while the configuration is known to be recent.
 *
 * <p>Belongs to the control thread. An instance cut off from the log would go on taking work for a
 * key that was withdrawn long ago. It counts the time since it last heard the end of the log, or a
 * peer that had heard it, on its own clock; past the bound it takes no new work. If the log is down
 * for all, nothing newer can have been acknowledged, and the peers' word keeps all of them going.
 */
public final class ReadinessCheck implements Readiness {

  private final BooleanSupplier caughtUp;
  private final LongSupplier configurationAgeMillis;
  private final BooleanSupplier draining;
  private final long maxConfigurationAgeMillis;
  private boolean shuttingDown;

  /**
   * Creates the check.
   *
   * @param caughtUp whether the configuration was once read to its end
   * @param configurationAgeMillis for how long changes may have been missed
   * @param draining whether an operator drains this instance
   * @param freshnessMillis the longest such time
   */
  public ReadinessCheck(
      BooleanSupplier caughtUp,
      LongSupplier configurationAgeMillis,
      BooleanSupplier draining,
      long freshnessMillis) {
    this.caughtUp = caughtUp;
    this.configurationAgeMillis = configurationAgeMillis;
    this.draining = draining;
    this.maxConfigurationAgeMillis = freshnessMillis;
  }

  /** Takes no new work from now on. */
  public void shutDown() {
    shuttingDown = true;
  }

  @Override
  public Optional<String> unreadyReason() {
    if (shuttingDown) {
      return Optional.of("this instance is shutting down");
    }
    if (draining.getAsBoolean()) {
      return Optional.of("this instance is being drained");
    }
    return configurationUnreadyReason();
  }

  /**
   * Returns why the configuration cannot be relied on. Operators are served while an instance is
   * drained, or nobody could end the draining.
   *
   * @return a sentence, or empty if it can
   */
  public Optional<String> configurationUnreadyReason() {
    if (!caughtUp.getAsBoolean()) {
      return Optional.of("this instance has not read the configuration yet");
    }
    if (configurationAgeMillis.getAsLong() > maxConfigurationAgeMillis) {
      return Optional.of("this instance cannot tell whether its configuration is recent");
    }
    return Optional.empty();
  }
}
