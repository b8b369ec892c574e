package org.hickorypier.daemon.logging;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers when the shutdown begins.
 *
 * <p>The default log manager removes all handlers in a shutdown hook that runs concurrently with
 * the daemon's own hook, so the log would miss the steps of a graceful shutdown and what it had to
 * abandon. The handlers of the daemon write through, so nothing is lost if they are not closed.
 * Thread-safe.
 */
public final class DaemonLogManager extends LogManager {

  private volatile boolean keepsHandlers;

  /** Creates the manager. The JDK calls this constructor by the name of the class. */
  public DaemonLogManager() {}

  void keepHandlersOnReset() {
    keepsHandlers = true;
  }

  @Override
  public void reset() {
    if (!keepsHandlers) {
      super.reset();
    }
  }
}
