package org.hickorypier.daemon.worker;

/**
 * The view of the other instances that {@link WorkerFleet} uses to decide which workers to claim.
 */
public interface ControlView {

  /**
   * Returns whether this instance should control the worker.
   *
   * @param worker the worker's name
   * @return true if this instance is the preferred controller among the instances considered live
   */
  boolean shouldControl(String worker);

  /**
   * Returns whether a controller is considered live.
   *
   * @param controller the instance name and incarnation, as {@code name#incarnation}
   * @return true if exactly this incarnation is reachable
   */
  boolean isLive(String controller);

  /**
   * Returns whether an operator is draining the worker or instance.
   *
   * @param name the name of the worker or instance
   * @return true while it is drained
   */
  boolean isDrained(String name);

  /**
   * Asks the preferred controller to claim a worker that this instance controls but should not.
   *
   * @param worker the worker's name
   */
  void offer(String worker);
}
