package org.hickorypier.standins.fault;

/** What can go wrong with a call to a stand-in. */
public enum Fault {
  /** Nothing; the plan may still delay the call. */
  NONE(false),
  /** Answers with an error that names no kind of refusal; no effect. */
  UNAVAILABLE(false),
  /** Closes the connection before the call takes effect. */
  RESET_BEFORE_EFFECT(false),
  /** Closes the connection after the call took effect, so its answer is lost. */
  RESET_AFTER_EFFECT(true),
  /**
   * Closes the connection at once; the call is still under way and takes effect after the delay.
   */
  LATE_EFFECT(false),
  /** Never answers, and the call has no effect. */
  SILENT_BEFORE_EFFECT(false),
  /** Never answers, though the call took effect. */
  SILENT_AFTER_EFFECT(true),
  /** Breaks the response off in the middle of its body; the call took effect. */
  CUT_BODY(true);

  private final boolean takesEffect;

  Fault(boolean takesEffect) {
    this.takesEffect = takesEffect;
  }

  /**
   * Tells whether the call has taken effect by the time its caller sees the fault.
   *
   * @return true if only its answer suffers
   */
  public boolean takesEffect() {
    return takesEffect;
  }
}
