package org.hickorypier.standins.fault;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.function.Function;

/** Makes a Mutiny call of a gated one, for the fakes. Stateless and thread safe. */
public final class GatedCalls {

  private GatedCalls() {}

  /**
   * Makes a call that runs anew for each subscriber.
   *
   * @param gate the gate to pass
   * @param operation the call's name
   * @param effect what it does
   * @param failures the exception that a caller sees for a fault
   * @param <T> the result's type
   * @return the call
   */
  public static <T> Uni<T> uni(
      FaultGate gate, String operation, Effect<T> effect, Function<Fault, Exception> failures) {
    return Uni.createFrom()
        .emitter(emitter -> gate.call(operation, effect, outcome(emitter, failures)));
  }

  private static <T> CallOutcome<T> outcome(
      UniEmitter<? super T> emitter, Function<Fault, Exception> failures) {
    return new CallOutcome<>() {
      @Override
      public void succeeded(T result) {
        emitter.complete(result);
      }

      @Override
      public void refused(Exception error) {
        emitter.fail(error);
      }

      @Override
      public void struck(Fault fault) {
        emitter.fail(failures.apply(fault));
      }
    };
  }
}
