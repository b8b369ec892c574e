package org.hickorypier.core.cell;

import java.util.List;
import java.util.Map;
import org.hickorypier.core.model.Resources;

/**
 * Stops that were ordered to make room for a step, and the room that is reserved for it meanwhile.
 *
 * <p>Immutable, but for the runs.
 *
 * @param resources the room of the step's tasks, by worker
 * @param victims the runs that were told to stop
 * @param until when the stops count as failed, on the owner's monotonic clock, in milliseconds
 * @param ticketsRenewed whether tickets that lapsed were requested again
 */
record StepPreemption(
    Map<WorkerView, Resources> resources, List<Run> victims, long until, boolean ticketsRenewed) {

  /** Returns how many of the runs still occupy their workers. */
  int activeVictims() {
    int active = 0;
    for (Run run : victims) {
      active += run.worker.runs.get(run.key) == run ? 1 : 0;
    }
    return active;
  }
}
