package org.hickorypier.daemon.report;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.hickorypier.core.cell.EventLog;

/**
 * Forwards the log records of libraries to the structured log.
 *
 * <p>If the store resets all connections, a library logs lines for each connection, which would
 * reach standard error without limit and in another format. As events they are subject to the same
 * rate limit as all other lines. Thread-safe.
 */
public final class LibraryLogHandler extends Handler {

  private static final String PART = "library";

  private final EventLog log;

  private LibraryLogHandler(EventLog log) {
    this.log = log;
    setLevel(Level.WARNING);
  }

  /**
   * Replaces all other handlers of the libraries' logs, for the whole process.
   *
   * @param log receives the warnings and errors
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
    // Records are not buffered here.
  }

  @Override
  public void close() {
    // The structured log is closed by its owner.
  }
}
