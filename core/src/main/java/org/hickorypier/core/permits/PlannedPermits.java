package org.hickorypier.core.permits;

import java.util.List;
import org.hickorypier.wire.record.PermitRecord;

/**
 * The outcome of planning one team's permits.
 *
 * <p>Immutable.
 *
 * @param usable how many tasks the instance may have running now
 * @param records what to append to the permits stream, in this order
 */
public record PlannedPermits(int usable, List<PermitRecord> records) {

  /** Copies the list. */
  public PlannedPermits {
    records = List.copyOf(records);
  }
}
