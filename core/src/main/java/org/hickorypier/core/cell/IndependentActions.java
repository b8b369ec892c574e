package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs actions that do not depend on each other, so that one that fails does not keep the others
 * from running.
 *
 * <p>Failure prevented: the shares of the customers cannot be computed, and with each attempt the
 * rest of the periodic work is left out, so that no submission with a schedule ever starts.
 *
 * <p>Invariant: no failure is lost; once all actions have run, one exception names all of them.
 * Confined to one thread.
 */
public final class IndependentActions {

  private final List<String> messages = new ArrayList<>(0);
  private RuntimeException firstError;

  /**
   * Runs an action and keeps its failure.
   *
   * @param name what the action does, for the log
   * @param action the action
   */
  public void run(String name, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException error) {
      addFailure(name, error);
    }
  }

  /**
   * Keeps the failure of an action that the caller has run itself.
   *
   * @param name what the action does, for the log
   * @param error its failure
   */
  public void addFailure(String name, RuntimeException error) {
    messages.add(name + " failed: " + error);
    if (firstError == null) {
      firstError = error;
    }
  }

  /**
   * Throws an exception if an action has failed.
   *
   * @throws IllegalStateException with the names and errors of the actions that have failed; its
   *     cause is the first error
   */
  public void throwIfFailed() {
    if (firstError != null) {
      throw new IllegalStateException(String.join("; ", messages), firstError);
    }
  }
}
