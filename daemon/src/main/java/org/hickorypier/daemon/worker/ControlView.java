package org.hickorypier.daemon.worker;

/** What the control of workers needs to know of the other instances. */
public interface ControlView {

  /**
   * Tells whether this instance should control the worker.
   *
   * @param worker the worker's name
   * @return true if it is the wanted controller over the instances that look live
   */
  boolean shouldControl(String worker);

  /**
   * Tells whether a controller still looks live.
   *
   * @param controller instance name and incarnation, as {@code name#incarnation}
   * @return true if that very incarnation is reachable
   */
  boolean isLive(String controller);

  /**
   * Tells whether an operator is draining the worker or instance.
   *
   * @param name the name
   * @return true while it is drained
   */
  boolean isDrained(String name);

  /**
   * Asks the wanted controller to take a worker that we hold but should not.
   *
   * @param worker the worker's name
   */
  void offer(String worker);
}
