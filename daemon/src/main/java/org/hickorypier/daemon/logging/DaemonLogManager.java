package org.hickorypier.daemon.logging;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers outlive the begin of the shutdown.
 *
 * <p>Thread safe. The platform's own manager takes all handlers away in a shutdown hook, which runs
 * beside the daemon's own. What a graceful shutdown does, and what it had to give up, would be
 * missing from the log. Handlers here write through, so nothing is lost by not closing them.
 */
public final class DaemonLogManager extends LogManager {

  private volatile boolean keepsHandlers;

  /** Creates the manager. The platform does so by the name of the class. */
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
