package org.hickorypier.daemon.worker;

import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.platform.worker.WorkerStatus;

/** Hears what becomes of our workers. Called on the control thread. */
public interface WorkerFleetListener {

  /**
   * A worker was heard from under our control.
   *
   * @param worker what it offers
   * @param status what it says of itself and its tasks
   * @param open whether it may be given new tasks
   */
  void onStatus(WorkerDescription worker, WorkerStatus status, boolean open);

  /**
   * A worker takes no new tasks from us any more; its tasks may still run.
   *
   * @param worker the worker's name
   * @param reason a few words for the log
   */
  void onClosed(String worker, String reason);

  /**
   * A worker has been silent for longer than its leases: whatever ran there has ended.
   *
   * @param worker the worker's name
   */
  void onLost(String worker);
}
