package org.hickorypier.core.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * A submission that asks to be accepted.
 *
 * <p>Immutable.
 *
 * @param id its id
 * @param customer its customer, or empty
 * @param queue its queue
 * @param service the service of its queue
 * @param place the place that it would have in the order
 * @param limitMillis the time from now within which it is of use, in milliseconds
 * @param predictable whether enough is known to predict its end
 * @param steps its steps
 */
public record AdmissionRequest(
    String id,
    String customer,
    String queue,
    String service,
    Place place,
    long limitMillis,
    boolean predictable,
    List<StepDemand> steps) {

  /** Copies the list, so that the record is immutable. */
  public AdmissionRequest {
    steps = List.copyOf(steps);
  }

  /** Returns the work that it would add to a backlog, if it is accepted at a time. */
  List<WorkGroup> work(long acceptedAt) {
    List<WorkGroup> work = new ArrayList<>();
    for (StepDemand step : steps) {
      work.add(
          new WorkGroup(
              service,
              customer,
              step.requires(),
              place,
              false,
              step.unit(),
              acceptedAt + limitMillis,
              1,
              step.runMillis(),
              step.coreMillis(),
              step.memoryMillis()));
    }
    return work;
  }
}
