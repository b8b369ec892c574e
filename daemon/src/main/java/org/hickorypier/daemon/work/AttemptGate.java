package org.hickorypier.daemon.work;

import java.util.function.Consumer;
import org.hickorypier.core.scheduling.Placement;

/**
 * Says when a placement may be ordered from its workers.
 *
 * <p>Work that runs at most once is journaled first: its start may be ordered only after its
 * attempt has been read back from the log as taken.
 */
@FunctionalInterface
public interface AttemptGate {

  /** A gate for work that needs no record. */
  AttemptGate OPEN = (placement, verdict) -> verdict.accept(true);

  /**
   * Asks for leave to start.
   *
   * @param placement what is to start
   * @param verdict is told once, on the control thread: true to start, false if the attempt was not
   *     taken and must not start
   */
  void requestStart(Placement placement, Consumer<Boolean> verdict);
}
