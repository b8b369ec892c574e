package org.hickorypier.core.cell;

import java.util.Optional;

/**
 * Which of the optional scheduling decisions an installation uses, and what they need to know of
 * its workers.
 *
 * <p>Immutable.
 *
 * @param preemption whether less urgent work makes room for work that would miss its objective
 * @param admission whether submissions are refused that cannot be done while they are of use
 * @param fairShares whether customers over their share wait behind the others under contention
 * @param workerSpeeds whether the speed of each worker is learned and used to place tasks
 * @param interruption what it costs to interrupt a run; empty if that is not known, in which case
 *     nothing is interrupted
 */
public record DecisionSettings(
    boolean preemption,
    boolean admission,
    boolean fairShares,
    boolean workerSpeeds,
    Optional<InterruptionCost> interruption) {

  /** All decisions are used; the cost of an interruption is not known. */
  public static final DecisionSettings DEFAULT =
      new DecisionSettings(true, true, true, true, Optional.empty());
}
