package org.hickorypier.acceptance.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.scheduling.TaskEnd;
import org.hickorypier.standins.worker.TaskHistory;

/** Two instances that order from the same worker, and what they said of their tasks. */
final class TwoControllers {

  private final ControlBench bench;
  private final Map<TaskId, ControllerNode> ordered = new HashMap<>();

  TwoControllers(ControlBench bench) {
    this.bench = bench;
  }

  /** Orders some services, each a quarter of the worker. */
  void fill(ControllerNode node, String prefix, int count) {
    for (int number = 0; number < count; number++) {
      TaskId id = ControlBench.task(prefix + "-" + number, 1);
      ordered.put(id, node);
      ControlBench.start(node, id, ControlBench.SERVICE);
    }
  }

  /** Finds tasks that an instance reported as not started although the worker recorded a start. */
  List<TaskId> reportedUnstartedButRan() {
    Set<String> ran =
        bench.worker.history().starts().stream()
            .map(TaskHistory::taskId)
            .collect(Collectors.toSet());
    List<TaskId> untrue = new ArrayList<>();
    ordered.forEach(
        (id, node) -> {
          if (node.end(id) == TaskEnd.NOT_STARTED && ran.contains(id.text())) {
            untrue.add(id);
          }
        });
    return untrue;
  }
}
