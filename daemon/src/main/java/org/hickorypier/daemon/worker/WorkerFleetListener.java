package org.hickorypier.daemon.worker;

import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.platform.worker.WorkerStatus;

/** Receives events of the workers that this instance controls, on the control thread. */
public interface WorkerFleetListener {

  /**
   * Called when a worker under this instance's control has reported its status.
   *
   * @param worker the description and capacity of the worker
   * @param status the reported status of the worker and its tasks
   * @param open whether new tasks may be placed on it
   */
  void onStatus(WorkerDescription worker, WorkerStatus status, boolean open);

  /**
   * Called when a worker gets no more new tasks from this instance; its tasks may still run.
   *
   * @param worker the worker's name
   * @param reason a short reason for the log
   */
  void onClosed(String worker, String reason);

  /**
   * Called when a worker has not responded for longer than its leases: all its tasks have ended.
   *
   * @param worker the worker's name
   */
  void onLost(String worker);
}
