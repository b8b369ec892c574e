package org.hickorypier.daemon.entry;

import java.util.Optional;

/** Says whether this instance may take new work. Called on the control thread. */
@FunctionalInterface
public interface Readiness {

  /**
   * Returns why no new work is taken.
   *
   * @return a sentence, or empty if new work is taken
   */
  Optional<String> unreadyReason();
}
