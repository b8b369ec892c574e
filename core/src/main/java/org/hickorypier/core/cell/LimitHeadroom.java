package org.hickorypier.core.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.Resources;

/**
 * Holds room under a customer's upper limit for its most urgent step that the limit blocks.
 *
 * <p>Load: a customer at its limit submits gangs beside batches of small tasks. Failure prevented:
 * each small task that ends is replaced by another at once, so that the limit never has room for
 * all members of the gang.
 *
 * <p>Invariants: one step of each customer holds room at a time, for at most its objective, and
 * affects only less urgent steps of the same customer, and equally urgent ones while runs are being
 * stopped for the holder. A step that has waited for longer than its own objective and has no run
 * may still start one task, or as a gang. Confined to the control thread.
 */
final class LimitHeadroom {

  private final CellState cell;
  private final Map<StepRun, Long> heldSince = new HashMap<>();
  private final Map<String, StepRun> holders = new HashMap<>();

  LimitHeadroom(CellState cell) {
    this.cell = cell;
  }

  /** Determines which steps hold room, before a pass over the steps in their order. */
  void update(Collection<StepRun> sorted, long now) {
    holders.clear();
    if (!cell.timings.decisions().preemption()) {
      return;
    }
    heldSince.keySet().retainAll(cell.readySteps);
    long unresolvedUpTo = cell.lastUnresolvedNumber(now);
    for (StepRun step : sorted) {
      String customer = step.submission.spec().customer();
      StepRun holder = holders.get(customer);
      if (cell.usage.limits(customer) != null
          && (holder == null || isBefore(step, holder))
          && !cell.waitsForUnheardWorkers(step.submission, unresolvedUpTo)
          && isBlockedByLimit(step)
          && isUseful(step, now)
          && mayHold(step, now)) {
        holders.put(customer, step);
      }
    }
    holders.values().forEach(step -> begin(step, now));
  }

  /** Tells whether a step waits for room under the limit, or for room that is being made for it. */
  private boolean isBlockedByLimit(StepRun step) {
    if (!step.submission.isLive()
        || step.isPersistent()
        || (step.isGang() ? !step.allTasksWaiting() : !step.hasWaitingTasks())) {
      return false;
    }
    String customer = step.submission.spec().customer();
    Resources each = step.spec.reservedResources();
    int waiting = step.waitingCount();
    boolean inProgress = step.preemption != null || step.reservation != null;
    return cell.usage.everAllows(customer, each, waiting)
        && (inProgress || !cell.usage.allows(customer, each, waiting));
  }

  /** Of steps of one priority, that for which runs are being stopped keeps the room they free. */
  private static boolean isBefore(StepRun step, StepRun holder) {
    return priority(step) < priority(holder)
        || priority(step) == priority(holder)
            && step.preemption != null
            && holder.preemption == null;
  }

  /** Tells whether a step may still end while its submission is of use. */
  private boolean isUseful(StepRun step, long now) {
    return UrgencyOrder.place(step, cell.durationEstimator, now).band()
        < UrgencyOrder.FIRST_USELESS_BAND;
  }

  private boolean mayHold(StepRun step, long now) {
    return now - heldSince.getOrDefault(step, now)
        <= step.submission.objectiveMillis(cell.durationEstimator);
  }

  private void begin(StepRun step, long now) {
    String customer = step.submission.spec().customer();
    Resources each = step.spec.reservedResources();
    boolean begins = heldSince.putIfAbsent(step, now) == null;
    if (begins && !cell.usage.allows(customer, each, step.waitingCount())) {
      cell.submissionEvent(
          "limit-headroom",
          step.submission,
          "step",
          step.occurrence + "." + step.index,
          "tasks",
          step.waitingCount(),
          "milli_cores",
          step.waitingCount() * step.spec.taskResources().milliProcessors());
    }
  }

  /** Tells whether the step itself holds room under its customer's limit. */
  boolean isHolder(StepRun step) {
    return holders.get(step.submission.spec().customer()) == step;
  }

  /** Returns the step whose headroom keeps so many tasks of a step from starting, or null. */
  StepRun blockerOf(StepRun step, int count, long now) {
    return holdingBack(step, now).filter(held -> held.blocks(count)).map(Held::holder).orElse(null);
  }

  /**
   * Returns the headroom that may keep tasks of a step from starting. It is valid until a task
   * starts; reading it takes time linear in the tasks of both steps.
   */
  Optional<Held> holdingBack(StepRun step, long now) {
    StepRun holder = holders.get(step.submission.spec().customer());
    if (holder == null || holder == step || !holdsBack(holder, step)) {
      return Optional.empty();
    }
    int waiting = holder.waitingCount();
    if (waiting == 0) {
      return Optional.empty();
    }
    Resources held = holder.spec.reservedResources().times(waiting);
    return Optional.of(new Held(cell.usage, holder, held, step, isStarved(step, now)));
  }

  /**
   * Room that one step holds against another. Confined to the control thread.
   *
   * @param usage what the customers use
   * @param holder the step that holds the room
   * @param room the room
   * @param step the step that may be blocked
   * @param starved whether that step may start one task, or as a gang, all the same
   */
  record Held(CustomerUsage usage, StepRun holder, Resources room, StepRun step, boolean starved) {

    /** Tells whether so many tasks of the step may not start. */
    boolean blocks(int count) {
      if (starved && (step.isGang() || count <= 1)) {
        return false;
      }
      Resources wanted = step.spec.reservedResources().times(count);
      return !usage.allows(step.submission.spec().customer(), room.plus(wanted), 1);
    }
  }

  private static boolean holdsBack(StepRun holder, StepRun step) {
    return priority(holder) < priority(step)
        || priority(holder) == priority(step)
            && holder.preemption != null
            && step.preemption == null;
  }

  /** Tells whether a step has waited for longer than its objective and has no run. */
  private boolean isStarved(StepRun step, long now) {
    if (now - step.waitingSince() <= step.submission.objectiveMillis(cell.durationEstimator)) {
      return false;
    }
    for (Task task : step.tasks) {
      if (task.runsOnWorkers > 0) {
        return false;
      }
    }
    return true;
  }

  private static int priority(StepRun step) {
    return step.submission.spec().queue().priority();
  }
}
