package org.hickorypier.daemon.work;

/** Says whether tasks may start on a worker. Called on the control thread. */
@FunctionalInterface
public interface StartRule {

  /**
   * Tells whether tasks may start on a worker under a control token.
   *
   * @param worker the worker's name
   * @param token our control token
   * @return true if this instance's word for the worker has been read back
   */
  boolean mayStartOn(String worker, long token);
}
