package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;

/**
 * Resources reserved for a placed task, with the data about its run that scheduling needs.
 *
 * <p>Immutable.
 *
 * @param task the task and the resources reserved for it
 * @param name the name under which sizes are learned, empty for adopted tasks
 * @param startedMillis when it was placed or adopted, on the monotonic clock
 * @param expectedRunMillis the declared run time, 0 if unknown
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
