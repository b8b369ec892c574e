package org.hickorypier.core.cluster;

import java.util.Set;
import org.hickorypier.core.cell.CustomerLimits;

/**
 * A customer with the keys that its callers present.
 *
 * <p>Immutable. Its text form leaves out the keys, so that none gets into a log.
 *
 * @param terms what scheduling needs to know of the customer
 * @param keys the keys in force
 */
public record CustomerAccess(CustomerLimits terms, Set<String> keys) {

  /** Copies the set, so that the record stays as it is. */
  public CustomerAccess {
    keys = Set.copyOf(keys);
  }

  @Override
  public String toString() {
    return "CustomerAccess[" + terms + ", " + keys.size() + " keys]";
  }
}
