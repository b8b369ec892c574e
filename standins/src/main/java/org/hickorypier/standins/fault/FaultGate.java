package org.hickorypier.standins.fault;

/**
 * Lets calls to a stand-in through, or makes them go wrong as planned.
 *
 * <p>Thread safe. A call that takes no effect never reaches its {@link Effect}.
 */
public final class FaultGate {

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
    Runnable rest = () -> finish(struckBy.fault(), effect, outcome);
    if (struckBy.delayMillis() > 0) {
      delays.after(struckBy.delayMillis(), rest);
    } else {
      rest.run();
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
