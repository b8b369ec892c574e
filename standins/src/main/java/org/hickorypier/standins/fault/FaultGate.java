package org.hickorypier.standins.fault;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Lets calls to a stand-in through, or makes them go wrong as planned.
 *
 * <p>Thread safe. A call that takes no effect never reaches its {@link Effect}, except one under
 * way, which reaches it after its caller has given up.
 */
public final class FaultGate {

  private static final Logger LOGGER = System.getLogger(FaultGate.class.getName());

  private final Delays delays;
  private FaultPlan plan = FaultPlan.NONE;

  /**
   * Creates a gate through which everything passes.
   *
   * @param delays runs delayed calls
   */
  public FaultGate(Delays delays) {
    this.delays = delays;
  }

  /**
   * Replaces the plan.
   *
   * @param newPlan what goes wrong from now on
   */
  public synchronized void plan(FaultPlan newPlan) {
    plan = newPlan;
  }

  /**
   * Makes a call.
   *
   * @param operation the call's name
   * @param effect what it does
   * @param outcome receives what became of it
   * @param <T> the result's type
   */
  public <T> void call(String operation, Effect<T> effect, CallOutcome<T> outcome) {
    FaultPlan struckBy = take(operation);
    if (struckBy.fault() == Fault.LATE_EFFECT) {
      outcome.struck(Fault.LATE_EFFECT);
      delays.after(Math.max(1, struckBy.delayMillis()), () -> runUnseen(effect));
      return;
    }
    Runnable rest = () -> finish(struckBy.fault(), effect, outcome);
    if (struckBy.delayMillis() > 0) {
      delays.after(struckBy.delayMillis(), rest);
    } else {
      rest.run();
    }
  }

  /** Nobody waits for the result any more, nor for the refusal. */
  private static <T> void runUnseen(Effect<T> effect) {
    try {
      effect.run();
    } catch (Exception error) {
      LOGGER.log(Level.DEBUG, "stand-in: late call refused: {0}", error.getMessage());
    }
  }

  private synchronized FaultPlan take(String operation) {
    if (!plan.strikes(operation)) {
      return FaultPlan.NONE;
    }
    FaultPlan taken = plan;
    plan = plan.afterStrike();
    return taken;
  }

  private static <T> void finish(Fault fault, Effect<T> effect, CallOutcome<T> outcome) {
    if (fault != Fault.NONE && !fault.takesEffect()) {
      outcome.struck(fault);
      return;
    }
    T result;
    try {
      result = effect.run();
    } catch (Exception error) {
      outcome.refused(error);
      return;
    }
    if (fault == Fault.NONE) {
      outcome.succeeded(result);
    } else {
      outcome.struck(fault);
    }
  }
}
