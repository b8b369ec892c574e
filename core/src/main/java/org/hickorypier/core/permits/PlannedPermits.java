package org.hickorypier.core.permits;

import java.util.List;
import org.hickorypier.wire.record.PermitRecord;

/**
 * The outcome of planning one team's permits.
 *
 * <p>Immutable.
 *
 * @param usable the number of tasks that the instance may run now
 * @param records the records to append to the permits stream, in this order
 */
public record PlannedPermits(int usable, List<PermitRecord> records) {

  /** Copies the list, so that the record stays immutable. */
  public PlannedPermits {
    records = List.copyOf(records);
  }
}
