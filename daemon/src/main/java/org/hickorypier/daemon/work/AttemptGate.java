package org.hickorypier.daemon.work;

import java.util.function.Consumer;
import org.hickorypier.core.scheduling.Placement;

/**
 * Decides when the tasks of a placement may be started on their workers.
 *
 * <p>Work that runs at most once is journaled first: its tasks may start only after the attempt has
 * been read back from the log as taken.
 */
@FunctionalInterface
public interface AttemptGate {

  /** Allows every start at once, for work whose attempts are not journaled. */
  AttemptGate OPEN = (placement, decision) -> decision.accept(true);

  /**
   * Requests permission to start a placement.
   *
   * @param placement the placement to start
   * @param decision receives one value on the control thread: true to start, false if the attempt
   *     was not taken and must not start
   */
  void requestStart(Placement placement, Consumer<Boolean> decision);
}
