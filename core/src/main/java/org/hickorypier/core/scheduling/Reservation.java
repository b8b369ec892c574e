package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;

/**
 * A placed task with what the decisions keep about its run.
 *
 * <p>Immutable.
 *
 * @param task the task and its room
 * @param name the name under which sizes are learned, empty for adopted tasks
 * @param startedMillis when it was placed or adopted
 * @param expectedRunMillis the declared run time, 0 if not known
 */
record Reservation(PlacedTask task, String name, long startedMillis, long expectedRunMillis) {

  Reservation withReserved(Resources reserved) {
    PlacedTask resized = new PlacedTask(task.taskId(), task.worker(), task.workClass(), reserved);
    return new Reservation(resized, name, startedMillis, expectedRunMillis);
  }

  long expectedEndMillis() {
    return startedMillis + expectedRunMillis;
  }
}
