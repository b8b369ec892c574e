package org.hickorypier.core.cluster;

import java.util.Set;
import org.hickorypier.core.cell.CustomerLimits;

/**
 * A customer and the keys that authenticate its callers.
 *
 * <p>Immutable. {@link #toString} omits the keys, so that none is written to a log.
 *
 * @param terms the customer's parameters for scheduling
 * @param keys the keys in force
 */
public record CustomerAccess(CustomerLimits terms, Set<String> keys) {

  /** Copies the set, so that the record stays immutable. */
  public CustomerAccess {
    keys = Set.copyOf(keys);
  }

  @Override
  public String toString() {
    return "CustomerAccess[" + terms + ", " + keys.size() + " keys]";
  }
}
