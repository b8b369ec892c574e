package org.hickorypier.daemon.work;

/** Decides whether tasks may start on a worker. Called on the control thread. */
@FunctionalInterface
public interface StartRule {

  /**
   * Returns whether tasks may start on a worker under a fencing token.
   *
   * @param worker the worker's name
   * @param token the fencing token under which this instance controls the worker
   * @return true if this instance's adoption of the worker has been read back from the permit log
   */
  boolean mayStartOn(String worker, long token);
}
