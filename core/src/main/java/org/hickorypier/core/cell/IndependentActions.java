package org.hickorypier.core.cell;

/**
 * Runs actions that do not depend on each other, so that one that fails does not keep the others
 * from running.
 *
 * <p>Failure prevented: the shares of the customers cannot be computed, and with each attempt the
 * rest of the periodic work is left out, so that no submission with a schedule ever starts.
 *
 * <p>Invariant: no failure is lost; the first one is thrown once all actions have run, and the
 * others are suppressed by it. Confined to the control thread.
 */
final class IndependentActions {

  private IllegalStateException failure;

  /**
   * Runs an action and keeps its failure.
   *
   * @param name what the action does, for the log
   * @param action the action
   */
  void run(String name, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException error) {
      IllegalStateException named = new IllegalStateException(name + " failed: " + error, error);
      if (failure == null) {
        failure = named;
      } else {
        failure.addSuppressed(named);
      }
    }
  }

  /**
   * Throws the failures of the actions that have run.
   *
   * @throws IllegalStateException if an action has failed
   */
  void throwFailure() {
    if (failure != null) {
      throw failure;
    }
  }
}
