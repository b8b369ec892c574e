package org.hickorypier.core.preemption;

import java.util.List;
import org.hickorypier.core.model.Resources;

/**
 * A step that would miss its objective if it waited, and the bounds for the room it may be made.
 *
 * <p>Immutable.
 *
 * @param customer the customer of the step
 * @param priority the priority of its queue; 0 is the highest
 * @param taskCount number of its waiting tasks, all of which must fit
 * @param taskSize the capacity that one task needs
 * @param runMillis expected duration of one task, in milliseconds
 * @param workers the suitable workers
 * @param unreservedMilliProcessors free capacity of the cell that the step may take although other
 *     work has reserves, in thousandths of a processor
 * @param limitRoom what the customer's upper limit leaves
 * @param sameCustomerOnly whether only runs of the same customer may be stopped
 * @param interruptionMillis time that an interrupted run loses for its stop and restore, in
 *     milliseconds
 * @param stoppableMilliProcessors capacity that may be stopped at present, in thousandths of a
 *     processor
 */
public record PreemptionRequest(
    String customer,
    int priority,
    int taskCount,
    Resources taskSize,
    long runMillis,
    List<WorkerRoom> workers,
    long unreservedMilliProcessors,
    Room limitRoom,
    boolean sameCustomerOnly,
    long interruptionMillis,
    long stoppableMilliProcessors) {

  /** Copies the list, so that the record is immutable. */
  public PreemptionRequest {
    workers = List.copyOf(workers);
  }

  /** Tells whether the customer's limit has no room for all tasks of the step. */
  boolean isLimitBinding() {
    return taskCount * taskSize.milliProcessors() > limitRoom.milliProcessors()
        || taskCount * taskSize.memoryMebibytes() > limitRoom.memoryMebibytes()
        || (long) taskCount * taskSize.accelerators() > limitRoom.accelerators();
  }
}
