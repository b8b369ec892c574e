package org.hickorypier.daemon.logging;

import java.io.PrintStream;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Sets up the log of the process: {@link System.Logger} over {@code java.util.logging}, one line
 * for each event.
 *
 * <p>Thread safe.
 */
public final class LogSetup {

  private static final String MANAGER_PROPERTY = "java.util.logging.manager";
  private static final String PROJECT_PACKAGE = "org.hickorypier";

  private static final Map<String, Level> LEVELS =
      Map.of(
          "error", Level.SEVERE,
          "warning", Level.WARNING,
          "info", Level.INFO,
          "debug", Level.FINE,
          "trace", Level.FINER);

  // The manager holds loggers weakly. Without this reference the collector takes the logger and the
  // level set on it, and after some time the log falls back to the default level.
  private static Logger projectLogger;

  private LogSetup() {}

  /**
   * Chooses the log manager. The platform makes it with the first logger of the process and never
   * changes it, and libraries make loggers as soon as one of their classes is used; so this is the
   * first call of a program. Too late, it does no harm, but the log ends where the shutdown begins.
   */
  public static void selectLogManager() {
    if (System.getProperty(MANAGER_PROPERTY) == null) {
      System.setProperty(MANAGER_PROPERTY, DaemonLogManager.class.getName());
    }
  }

  /**
   * Sends the log to a stream.
   *
   * @param level the least level of the project's own events: error, warning, info, debug or trace
   * @param stream where the lines go
   */
  public static synchronized void start(String level, PrintStream stream) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    LineHandler handler = new LineHandler(stream);
    handler.setLevel(Level.ALL);
    root.addHandler(handler);
    // Libraries tell of every connection that a caller resets; only their warnings are of use.
    root.setLevel(Level.WARNING);
    projectLogger = Logger.getLogger(PROJECT_PACKAGE);
    projectLogger.setLevel(LEVELS.getOrDefault(level, Level.INFO));
    if (LogManager.getLogManager() instanceof DaemonLogManager manager) {
      manager.keepHandlersOnReset();
    }
  }
}
