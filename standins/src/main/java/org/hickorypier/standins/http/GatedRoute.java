package org.hickorypier.standins.http;

import io.vertx.ext.web.RoutingContext;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hickorypier.standins.fault.CallOutcome;
import org.hickorypier.standins.fault.Effect;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultGate;

/** Passes HTTP calls through a fault gate. Thread safe. */
final class GatedRoute {

  private final FaultGate gate;
  private final BiConsumer<RoutingContext, Exception> refusal;

  GatedRoute(FaultGate gate, BiConsumer<RoutingContext, Exception> refusal) {
    this.gate = gate;
    this.refusal = refusal;
  }

  <T> void call(RoutingContext context, String operation, Effect<T> effect, Consumer<T> succeeded) {
    call(context, operation, effect, succeeded, fault -> FaultedResponses.strike(context, fault));
  }

  <T> void call(
      RoutingContext context,
      String operation,
      Effect<T> effect,
      Consumer<T> succeeded,
      Consumer<Fault> struck) {
    gate.call(
        operation,
        effect,
        new CallOutcome<T>() {
          @Override
          public void succeeded(T result) {
            succeeded.accept(result);
          }

          @Override
          public void refused(Exception error) {
            refusal.accept(context, error);
          }

          @Override
          public void struck(Fault fault) {
            struck.accept(fault);
          }
        });
  }
}
