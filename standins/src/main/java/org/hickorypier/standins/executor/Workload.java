package org.hickorypier.standins.executor;

/** Decides how long a run works and whether it fails. */
@FunctionalInterface
public interface Workload {

  /**
   * Plans a run.
   *
   * @param task the task's name
   * @param run the run's number
   * @return what it does
   */
  Planned plan(String task, int run);

  /**
   * What a run does.
   *
   * <p>Immutable.
   *
   * @param millis how long it works, in milliseconds
   * @param fails whether it fails in the end
   */
  record Planned(long millis, boolean fails) {}

  /**
   * All runs work for the same time and are done.
   *
   * @param millis the time, in milliseconds
   * @return the workload
   */
  static Workload steady(long millis) {
    Planned planned = new Planned(millis, false);
    return (task, run) -> planned;
  }
}
