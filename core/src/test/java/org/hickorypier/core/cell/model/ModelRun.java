package org.hickorypier.core.cell.model;

import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.verification.ObservedRun;

/** A run of a task on a {@link ModelWorker}. */
final class ModelRun {

  final RunKey key;
  final ModelWorker worker;
  final Resources size;
  final int gangWidth;
  boolean stopping;
  boolean working;
  private long workStartMillis;
  private long workMillis = 1;

  /** Returns the run as an observer of the worker sees it. */
  ObservedRun observed() {
    return new ObservedRun(key, worker.id, worker.incarnation);
  }

  void beginWork(long now, long millis) {
    workStartMillis = now;
    workMillis = Math.max(1, millis);
  }

  /** Returns the progress in percent, at most 99 while the run works. */
  int percent(long now) {
    return working ? (int) Math.min(99, 100 * (now - workStartMillis) / workMillis) : 0;
  }

  ModelRun(RunKey key, ModelWorker worker, Resources size, int gangWidth) {
    this.key = key;
    this.worker = worker;
    this.size = size;
    this.gangWidth = gangWidth;
  }
}
