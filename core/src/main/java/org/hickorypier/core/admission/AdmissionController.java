package org.hickorypier.core.admission;

/**
 * Decides on submissions and keeps the promises to those refused.
 *
 * <p>Confined to the control thread.
 */
public final class AdmissionController {

  private final AdmissionPolicy policy = new AdmissionPolicy();
  private final ReturnSchedule returns = new ReturnSchedule();
  private final EstimateErrors errors;

  /**
   * Creates a controller without promises.
   *
   * @param errors the errors of earlier estimates
   */
  public AdmissionController(EstimateErrors errors) {
    this.errors = errors;
  }

  /**
   * Decides on a submission that the owner does not know.
   *
   * @param request the submission
   * @param backlog the work of the cell
   * @param now the time, on the owner's clock
   * @return the decision; a refusal comes with a slot
   */
  public AdmissionDecision decide(AdmissionRequest request, Backlog backlog, long now) {
    AdmissionDecision decision =
        policy.decide(request, backlog.with(returns.ahead(request.id(), now)));
    if (decision.accepted()) {
      returns.remove(request.id());
      return decision;
    }
    double trusted = errors.trust(request.queue()) * decision.estimateMillis();
    if (trusted <= decision.limitMillis()) {
      returns.remove(request.id());
      return AdmissionDecision.accept(decision.estimateMillis(), decision.limitMillis());
    }
    long retryAfter = returns.promise(request, decision.retryAfterMillis(), now);
    return decision.withRetryAfter(retryAfter);
  }

  /**
   * Estimates the least time until the end of a submission that waits.
   *
   * @param request the submission
   * @param backlog the work of the cell
   * @return the time in milliseconds, or {@link AdmissionDecision#UNKNOWN}
   */
  public long estimateMillis(AdmissionRequest request, Backlog backlog) {
    return policy.decide(request, backlog).estimateMillis();
  }
}
