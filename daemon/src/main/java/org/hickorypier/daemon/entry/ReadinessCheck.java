package org.hickorypier.daemon.entry;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Accepts new work only while the configuration is known to be recent.
 *
 * <p>An instance that is partitioned from the log would otherwise keep accepting work for a key
 * that was withdrawn long ago. It measures on its own clock how long ago it last read the end of
 * the log, or last heard from a peer that had read it; past the limit it accepts no new work. If
 * the log is unavailable to all instances, no newer change can have been acknowledged, and the
 * peers' messages keep all instances ready.
 *
 * <p>Confined to the control thread.
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
   * @param caughtUp whether the configuration has been read to the end of the log at least once
   * @param configurationAgeMillis the time in milliseconds during which changes may have been
   *     missed
   * @param draining whether an operator is draining this instance
   * @param maxConfigurationAgeMillis the largest such time with which new work is accepted
   */
  public ReadinessCheck(
      BooleanSupplier caughtUp,
      LongSupplier configurationAgeMillis,
      BooleanSupplier draining,
      long maxConfigurationAgeMillis) {
    this.caughtUp = caughtUp;
    this.configurationAgeMillis = configurationAgeMillis;
    this.draining = draining;
    this.maxConfigurationAgeMillis = maxConfigurationAgeMillis;
  }

  /** Makes this instance refuse new work from now on. */
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
   * Returns why the configuration cannot be relied on. Draining and shutdown are not considered:
   * operator requests must be served while an instance is drained, or nobody could end the drain.
   *
   * @return a sentence, or empty if the configuration can be relied on
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
