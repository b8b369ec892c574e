package org.hickorypier.standins.executor;

/** Hears what happens to the runs of a worker, in the order in which it happens. */
public interface RunObserver {

  /** Hears nothing. */
  RunObserver NONE =
      new RunObserver() {
        @Override
        public void started(String task, int run) {}

        @Override
        public void ended(String task, int run, String how) {}

        @Override
        public void forgotten(String task, int run, String how) {}

        @Override
        public void lapsed() {}

        @Override
        public void crashing() {}
      };

  /**
   * A run has begun.
   *
   * @param task the task's name
   * @param run the run's number
   */
  void started(String task, int run);

  /**
   * A run has ended.
   *
   * @param task the task's name
   * @param run the run's number
   * @param how how it ended, as the worker lists it
   */
  void ended(String task, int run, String how);

  /**
   * An end was acknowledged to the worker.
   *
   * @param task the task's name
   * @param run the run's number
   * @param how how it ended
   */
  void forgotten(String task, int run, String how);

  /** The worker's lease has run out. */
  void lapsed();

  /** A run crashes the worker, which ends as its owner has it end. */
  void crashing();
}
