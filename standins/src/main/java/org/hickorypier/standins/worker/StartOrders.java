package org.hickorypier.standins.worker;

import java.util.List;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.WorkerErrorKind;
import org.hickorypier.platform.worker.WorkerException;

/** Checks start orders. Stateless and thread safe. */
final class StartOrders {

  private StartOrders() {}

  static void check(StartOrder order) throws WorkerException {
    boolean whole =
        order.taskId() != null
            && !order.taskId().isEmpty()
            && order.owner() != null
            && order.workClass() != null
            && order.payload() != null;
    if (!whole) {
      throw new WorkerException(WorkerErrorKind.BAD_ORDER, "order is incomplete", null);
    }
    boolean inRange =
        order.milliProcessors() >= 0
            && order.memoryMebibytes() >= 0
            && order.accelerators() >= 0
            && order.leaseMillis() > 0;
    if (!inRange) {
      throw new WorkerException(WorkerErrorKind.BAD_ORDER, "order is out of range", null);
    }
  }

  static boolean fits(StartOrder order, List<TaskRun> running, WorkerProfile profile) {
    long processors = order.milliProcessors();
    long memory = order.memoryMebibytes();
    int accelerators = order.accelerators();
    for (TaskRun run : running) {
      processors += run.order().milliProcessors();
      memory += run.order().memoryMebibytes();
      accelerators += run.order().accelerators();
    }
    return running.size() < profile.slots()
        && processors <= profile.milliProcessors()
        && memory <= profile.memoryMebibytes()
        && accelerators <= profile.accelerators();
  }
}
