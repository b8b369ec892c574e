package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.fairness.CustomerUse;
import org.hickorypier.core.fairness.FairShares;
import org.hickorypier.core.model.Resources;

/**
 * Samples what each customer uses of the cell, and tells whose work waits behind that of others.
 *
 * <p>Confined to the control thread.
 */
final class ShareSampler {

  private static final String PART = "shares";

  private final CellState cell;
  private final FairShares shares = new FairShares();
  private Set<String> logged = Set.of();

  ShareSampler(CellState cell) {
    this.cell = cell;
  }

  /** Adds a sample. Called with each tick of the cell. */
  void sample(long now) {
    if (!cell.timings.decisions().fairShares() || !cell.usage.isConfigured()) {
      return;
    }
    Resources capacity = Resources.NONE;
    for (WorkerView worker : cell.workers.values()) {
      if (worker.addsCapacity()) {
        capacity = capacity.plus(worker.incarnation().capacity());
      }
    }
    Set<String> waiting = new HashSet<>();
    for (StepRun step : cell.readySteps) {
      if (step.submission.isLive() && !step.submission.exceedsShare) {
        waiting.add(step.submission.spec().customer());
      }
    }
    Map<String, CustomerUse> uses = new HashMap<>();
    for (CustomerLimits customer : cell.usage.customers()) {
      Resources used = cell.usage.usedBy(customer.name());
      boolean waits = waiting.contains(customer.name());
      if (waits || !used.equals(Resources.NONE)) {
        uses.put(
            customer.name(),
            new CustomerUse(customer.weight(), used.dominantShare(capacity), waits));
      }
    }
    shares.sample(uses, now);
    logChange();
  }

  private void logChange() {
    Set<String> over = Set.copyOf(shares.customersOverShare());
    if (!over.equals(logged)) {
      logged = over;
      cell.log.event(PART, "over-share", "customers", String.join(" ", over));
    }
  }

  /**
   * Returns whether a step waits behind those of customers that are below their share. No step does
   * so once its submission is older than the window of the shares.
   */
  boolean isHeldBack(StepRun step, long now) {
    return now - step.submission.acceptedAt < FairShares.WINDOW_MILLIS
        && shares.isOverShare(step.submission.spec().customer());
  }
}
