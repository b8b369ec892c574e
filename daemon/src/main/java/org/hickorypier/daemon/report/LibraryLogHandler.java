package org.hickorypier.daemon.report;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.hickorypier.core.cell.EventLog;

/**
 * Brings what libraries log into the structured log.
 *
 * <p>Failure: the store resets all connections, and a library writes lines of its own for each to
 * standard error, unbounded and in another form. Safeguard: they pass through the same budget as
 * all other lines. Thread safe.
 */
public final class LibraryLogHandler extends Handler {

  private static final String PART = "library";

  private final EventLog log;

  private LibraryLogHandler(EventLog log) {
    this.log = log;
    setLevel(Level.WARNING);
  }

  /**
   * Takes the place of all other outputs of the libraries' logs, for the whole process.
   *
   * @param log takes the warnings and errors
   */
  public static void install(EventLog log) {
    LogManager.getLogManager().reset();
    Logger root = Logger.getLogger("");
    root.setLevel(Level.WARNING);
    root.addHandler(new LibraryLogHandler(log));
  }

  @Override
  public void publish(LogRecord logged) {
    if (isLoggable(logged)) {
      log.event(
          PART,
          "logged",
          "level",
          logged.getLevel().getName(),
          "logger",
          logged.getLoggerName(),
          "message",
          logged.getMessage(),
          "error",
          String.valueOf(logged.getThrown()));
    }
  }

  @Override
  public void flush() {
    // Nothing is kept here.
  }

  @Override
  public void close() {
    // The structured log has its own end.
  }
}
