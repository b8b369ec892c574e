package org.hickorypier.daemon.logging;

import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Formats each event as one line: time in UTC, level, and the message with the prefix of its
 * component.
 *
 * <p>Thread-safe. An event never takes more than one line.
 */
final class LineFormatter extends Formatter {

  private static final DateTimeFormatter TIMESTAMP_FORMAT =
      DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

  /**
   * Enough frames to locate an error; the whole stack trace of a recurring error would obscure the
   * other events.
   */
  private static final int MAX_FRAMES = 6;

  private static final int MAX_CAUSES = 4;

  @Override
  public String format(LogRecord event) {
    StringBuilder line = new StringBuilder();
    line.append(TIMESTAMP_FORMAT.format(event.getInstant())).append(' ');
    line.append("%-7s ".formatted(levelName(event.getLevel())));
    appendPrintable(line, formatMessage(event));
    appendCauses(line, event.getThrown());
    return line.append('\n').toString();
  }

  private static String levelName(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return "ERROR";
    } else if (level.intValue() >= Level.WARNING.intValue()) {
      return "WARNING";
    } else if (level.intValue() >= Level.INFO.intValue()) {
      return "INFO";
    }
    return level.intValue() >= Level.FINE.intValue() ? "DEBUG" : "TRACE";
  }

  private static void appendCauses(StringBuilder line, Throwable thrown) {
    Throwable cause = thrown;
    for (int depth = 0; cause != null && depth < MAX_CAUSES; depth++) {
      line.append(depth == 0 ? " | " : " | caused by ");
      appendPrintable(line, cause.toString());
      appendFrames(line, cause.getStackTrace());
      cause = cause.getCause();
    }
  }

  private static void appendFrames(StringBuilder line, StackTraceElement[] frames) {
    for (int index = 0; index < Math.min(MAX_FRAMES, frames.length); index++) {
      line.append(" at ").append(frames[index]);
    }
  }

  // Request ids and error texts come from outside. A line break in one would let a caller forge
  // log lines, and an escape sequence would control the terminal of the reader.
  private static void appendPrintable(StringBuilder line, String text) {
    text.codePoints()
        .map(codePoint -> Character.isISOControl(codePoint) ? ' ' : codePoint)
        .forEach(line::appendCodePoint);
  }
}
