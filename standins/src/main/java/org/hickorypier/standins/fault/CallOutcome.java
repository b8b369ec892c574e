package org.hickorypier.standins.fault;

/**
 * Receives what became of a call. Exactly one method is called, once.
 *
 * @param <T> the result's type
 */
public interface CallOutcome<T> {

  /**
   * The call took effect and its answer arrives.
   *
   * @param result the result
   */
  void succeeded(T result);

  /**
   * The stand-in refused, which had no effect.
   *
   * @param error the refusal
   */
  void refused(Exception error);

  /**
   * The call was struck; {@link Fault#takesEffect} tells whether it took effect.
   *
   * @param fault what goes wrong
   */
  void struck(Fault fault);
}
