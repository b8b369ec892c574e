package org.hickorypier.daemon.entry;

import java.util.Optional;

/** Decides whether this instance may accept new work. Called on the control thread. */
@FunctionalInterface
public interface Readiness {

  /**
   * Returns why this instance accepts no new work.
   *
   * @return a sentence, or empty if new work is accepted
   */
  Optional<String> unreadyReason();
}
