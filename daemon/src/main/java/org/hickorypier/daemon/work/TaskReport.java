package org.hickorypier.daemon.work;

import org.hickorypier.core.scheduling.TaskEnd;

/**
 * How one task ended. The bytes must not be changed.
 *
 * @param end the kind of end
 * @param detail a message for the caller, empty if completed
 * @param body the whole answer, empty if none was requested
 */
public record TaskReport(TaskEnd end, String detail, byte[] body) {

  static final byte[] NO_BODY = {};

  static TaskReport withoutBody(TaskEnd end, String detail) {
    return new TaskReport(end, detail, NO_BODY);
  }
}
