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
   * @param millis how long it works, or how long it takes to start up if it lasts, in milliseconds
   * @param fails whether it fails in the end
   * @param lasts whether it works until it is stopped or its worker is gone
   * @param crashes whether it crashes its worker after that time
   */
  record Planned(long millis, boolean fails, boolean lasts, boolean crashes) {

    /**
     * Plans a run that ends by itself.
     *
     * @param millis how long it works, in milliseconds
     * @param fails whether it fails in the end
     */
    public Planned(long millis, boolean fails) {
      this(millis, fails, false, false);
    }

    /**
     * Plans a run that lasts.
     *
     * @param millis how long it takes to start up, in milliseconds
     * @return the plan
     */
    public static Planned lasting(long millis) {
      return new Planned(millis, false, true, false);
    }

    /**
     * Plans a run that crashes its worker.
     *
     * @param millis how long it works before, in milliseconds
     * @return the plan
     */
    public static Planned crashing(long millis) {
      return new Planned(millis, false, false, true);
    }
  }

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
