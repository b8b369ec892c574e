package org.hickorypier.core.cell.model;

import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.verification.ObservedRun;

/** A run on a worker of the model. */
final class ModelRun {

  final RunKey key;
  final ModelWorker worker;
  final Resources size;
  final int gangWidth;
  boolean stopping;
  boolean working;
  private long workFrom;
  private long workMillis = 1;

  /** Returns the run as the worker's record shows it. */
  ObservedRun observed() {
    return new ObservedRun(key, worker.id, worker.incarnation);
  }

  /** Begins to work. */
  void workFrom(long now, long millis) {
    workFrom = now;
    workMillis = Math.max(1, millis);
  }

  /** Tells how far it is. */
  int percent(long now) {
    return working ? (int) Math.min(99, 100 * (now - workFrom) / workMillis) : 0;
  }

  ModelRun(RunKey key, ModelWorker worker, Resources size, int gangWidth) {
    this.key = key;
    this.worker = worker;
    this.size = size;
    this.gangWidth = gangWidth;
  }
}
