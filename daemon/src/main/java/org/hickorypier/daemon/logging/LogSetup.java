package org.hickorypier.daemon.logging;

import java.io.PrintStream;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Configures the log of the process: {@link System.Logger} over {@code java.util.logging}, with one
 * line for each event.
 *
 * <p>Thread-safe.
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

  // The log manager references loggers weakly. Without this reference the garbage collector would
  // remove the logger with its level, and the log would fall back to the default level after some
  // time.
  private static Logger projectLogger;

  private LogSetup() {}

  /**
   * Selects the log manager of the process, unless a system property already does.
   *
   * <p>The JDK creates the log manager with the first logger of the process and never replaces it,
   * and libraries create loggers as soon as one of their classes is used, so a program calls this
   * method first. A later call has no effect, and the log then ends when the shutdown begins.
   */
  public static void selectLogManager() {
    if (System.getProperty(MANAGER_PROPERTY) == null) {
      System.setProperty(MANAGER_PROPERTY, DaemonLogManager.class.getName());
    }
  }

  /**
   * Directs the log to a stream.
   *
   * @param level the lowest level of the project's own events: error, warning, info, debug or
   *     trace; any other value means info
   * @param stream receives the lines
   */
  public static synchronized void start(String level, PrintStream stream) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    LineHandler handler = new LineHandler(stream);
    handler.setLevel(Level.ALL);
    root.addHandler(handler);
    // Libraries log every connection that a caller resets; only their warnings are of use.
    root.setLevel(Level.WARNING);
    projectLogger = Logger.getLogger(PROJECT_PACKAGE);
    projectLogger.setLevel(LEVELS.getOrDefault(level, Level.INFO));
    if (LogManager.getLogManager() instanceof DaemonLogManager manager) {
      manager.keepHandlersOnReset();
    }
  }
}
