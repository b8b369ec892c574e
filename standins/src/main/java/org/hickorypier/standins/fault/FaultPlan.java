package org.hickorypier.standins.fault;

/**
 * Which calls go wrong, how and how often.
 *
 * <p>Immutable.
 *
 * @param operation the calls concerned, such as {@code append} or {@code start}; empty for all
 * @param fault what goes wrong
 * @param times how many calls it strikes; negative until the next plan
 * @param delayMillis how long such a call is held before anything else
 */
public record FaultPlan(String operation, Fault fault, int times, long delayMillis) {

  /** Nothing goes wrong. */
  public static final FaultPlan NONE = new FaultPlan("", Fault.NONE, 0, 0);

  /** Fills in what a JSON form may leave out. */
  public FaultPlan {
    operation = operation == null ? "" : operation;
    fault = fault == null ? Fault.NONE : fault;
  }

  /**
   * Makes a plan that strikes every call of a kind until the next plan.
   *
   * @param operation the calls concerned, empty for all
   * @param fault what goes wrong
   * @return the plan
   */
  public static FaultPlan always(String operation, Fault fault) {
    return new FaultPlan(operation, fault, -1, 0);
  }

  /**
   * Makes a plan that strikes one call.
   *
   * @param operation the calls concerned, empty for all
   * @param fault what goes wrong
   * @return the plan
   */
  public static FaultPlan once(String operation, Fault fault) {
    return new FaultPlan(operation, fault, 1, 0);
  }

  boolean strikes(String called) {
    return times != 0 && (operation.isEmpty() || operation.equals(called));
  }

  FaultPlan afterStrike() {
    return times < 0 ? this : new FaultPlan(operation, fault, times - 1, delayMillis);
  }
}
