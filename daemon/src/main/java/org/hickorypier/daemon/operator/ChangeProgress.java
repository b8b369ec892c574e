package org.hickorypier.daemon.operator;

import java.util.List;

/** Says how far a change has come. Called on the control thread. */
@FunctionalInterface
public interface ChangeProgress {

  /**
   * Returns who is behind.
   *
   * @param offset an offset of the configuration
   * @return the names of the live instances not known to have folded it; empty if it is in force
   *     everywhere
   */
  List<String> behind(long offset);
}
