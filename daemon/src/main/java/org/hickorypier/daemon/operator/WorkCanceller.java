package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import org.hickorypier.core.model.WorkKey;

/** Cancels work, wherever in the fleet it is. Idempotent. Called on the control thread. */
@FunctionalInterface
public interface WorkCanceller {

  /**
   * Cancels.
   *
   * @param key the work
   * @return what became of it
   */
  Uni<CancelOutcome> cancel(WorkKey key);
}
