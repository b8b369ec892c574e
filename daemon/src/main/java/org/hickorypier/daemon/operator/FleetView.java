package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;

/**
 * What goes on in the whole fleet, for the operators' queries.
 *
 * <p>Called on the control thread. A result may come on any thread; an instance that does not
 * answer in time is named as missing and does not fail the call.
 */
public interface FleetView {

  /**
   * Returns the tasks that run.
   *
   * @return the rows
   */
  Uni<FleetRows<RunningRow>> running();

  /**
   * Returns the work that is queued.
   *
   * @return the rows
   */
  Uni<FleetRows<WaitingRow>> waiting();

  /**
   * Returns the work refused or given up on of late.
   *
   * @return the rows
   */
  Uni<FleetRows<RefusedRow>> refused();

  /**
   * Returns the workers.
   *
   * @return the rows
   */
  Uni<FleetRows<WorkerRow>> workers();

  /**
   * Returns the instances.
   *
   * @return the rows
   */
  Uni<FleetRows<InstanceRow>> instances();
}
