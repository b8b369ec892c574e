package org.hickorypier.daemon.logging;

import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Prints each event immediately. Thread-safe: each line is one call of a synchronized stream. */
final class LineHandler extends Handler {

  private final PrintStream stream;
  private final LineFormatter formatter = new LineFormatter();

  LineHandler(PrintStream stream) {
    this.stream = stream;
  }

  @Override
  public void publish(LogRecord event) {
    if (isLoggable(event)) {
      stream.print(formatter.format(event));
      stream.flush();
    }
  }

  @Override
  public void flush() {
    stream.flush();
  }

  @Override
  public void close() {
    stream.flush();
  }
}
