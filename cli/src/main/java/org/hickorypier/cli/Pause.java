package org.hickorypier.cli;

import java.time.Duration;

/** Waits between two questions to a server. Tests pass one that does not wait. */
@FunctionalInterface
interface Pause {

  /**
   * Waits.
   *
   * @param duration how long
   * @throws InterruptedException if the wait is broken off
   */
  void pause(Duration duration) throws InterruptedException;
}
