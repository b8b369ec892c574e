package org.hickorypier.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.hickorypier.core.model.Resources;

/**
 * Refuses the submissions that cannot end while they are of use.
 *
 * <p>The estimate is a lower bound of the time to the end. It counts the running work of the same
 * or a more urgent place, and the waiting work that is placed first and fits wherever the
 * submission fits: a wide gang that waits for room does not hold up a narrow task. A customer takes
 * no more than its upper limit. What may still run when the submission starts is left out, up to
 * the whole capacity. More urgent work counts until it is of no use and leaves the order. Work of
 * the same band and priority counts in full: if it does not end in time, the submission could be
 * done only in the place of an earlier one that was accepted. Stateless.
 */
public final class AdmissionPolicy {

  /** Part of the predicted work that counts: the mean of some 20 runs is off by up to a fifth. */
  private static final double WORK_MARGIN = 0.8;

  private static final long MILLIS_PER_SECOND = 1_000;

  /** The shortest delay on the wire. */
  static final long MIN_RETRY_MILLIS = 1_000;

  /** The longest delay; what is predicted beyond it depends on submissions to come. */
  static final long MAX_RETRY_MILLIS = 10_000;

  /**
   * Decides on a submission.
   *
   * @param request the submission
   * @param backlog the work of the cell
   * @return the decision
   */
  public AdmissionDecision decide(AdmissionRequest request, Backlog backlog) {
    if (!backlog.complete() || !request.predictable()) {
      return AdmissionDecision.accept(AdmissionDecision.UNKNOWN, request.limitMillis());
    }
    long estimate = 0;
    boolean limitBinds = false;
    for (StepDemand step : request.steps()) {
      List<WorkGroup> ahead = ahead(request, step, backlog);
      double byRoom = startByRoom(ahead, request, step, backlog);
      double byLimit = startByLimit(ahead, request, backlog);
      long end = Math.round(Math.max(byRoom, byLimit)) + step.tailMillis();
      if (end > estimate) {
        estimate = end;
        limitBinds = byLimit > byRoom;
      }
    }
    if (estimate <= request.limitMillis()) {
      return AdmissionDecision.accept(estimate, request.limitMillis());
    }
    String reason =
        limitBinds ? "the customer's limit leaves no room in time" : "the cell has no room in time";
    return new AdmissionDecision(
        false,
        reason,
        retryAfterMillis(estimate - request.limitMillis()),
        estimate,
        request.limitMillis());
  }

  /** Returns a delay in whole seconds within the bounds of the wire, in milliseconds. */
  static long retryAfterMillis(long wantedMillis) {
    long seconds = (wantedMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, seconds * MILLIS_PER_SECOND));
  }

  /** Returns the groups that may go first on any worker that a step may use. */
  private static List<WorkGroup> ahead(AdmissionRequest request, StepDemand step, Backlog backlog) {
    List<WorkGroup> ahead = new ArrayList<>();
    for (WorkGroup group : backlog.groups()) {
      if (isAhead(group, request, step)
          && (group.requires().isEmpty() || group.requires().equals(step.requires()))) {
        ahead.add(group);
      }
    }
    return ahead;
  }

  /** Returns the least time until a step has room on the workers that it may use. */
  private static double startByRoom(
      List<WorkGroup> ahead, AdmissionRequest request, StepDemand step, Backlog backlog) {
    Resources whole = backlog.capacity(request.service(), "");
    double start = startWithin(whole, ahead, request, backlog);
    if (step.requires().isEmpty()) {
      return start;
    }
    List<WorkGroup> labelled = ahead.stream().filter(group -> !group.requires().isEmpty()).toList();
    Resources capacity = backlog.capacity(request.service(), step.requires());
    return Math.max(start, startWithin(capacity, labelled, request, backlog));
  }

  private static double startByLimit(
      List<WorkGroup> ahead, AdmissionRequest request, Backlog backlog) {
    Optional<Resources> limit = backlog.limit(request.customer());
    if (limit.isEmpty()) {
      return 0;
    }
    List<WorkGroup> own =
        ahead.stream().filter(group -> group.customer().equals(request.customer())).toList();
    return startWithin(limit.get(), own, request, backlog);
  }

  private static boolean isEqual(Place one, Place other) {
    return one.band() == other.band() && one.priority() == other.priority();
  }

  private static boolean isAhead(WorkGroup group, AdmissionRequest request, StepDemand step) {
    if (!group.service().equals(request.service())) {
      return false;
    }
    if (group.running()) {
      // Less urgent runs may be interrupted for the submission.
      return group.place().priority() <= request.place().priority();
    }
    return group.place().compareTo(request.place()) <= 0 && group.unit().fitsWherever(step.unit());
  }

  private static double startWithin(
      Resources capacity, List<WorkGroup> ahead, AdmissionRequest request, Backlog backlog) {
    double byProcessors =
        start(
            capacity.milliProcessors(),
            ahead,
            WorkGroup::coreMillis,
            Resources::milliProcessors,
            request,
            backlog);
    double byMemory =
        start(
            capacity.memoryMebibytes(),
            ahead,
            WorkGroup::memoryMillis,
            Resources::memoryMebibytes,
            request,
            backlog);
    return Math.max(byProcessors, byMemory);
  }

  /**
   * Returns the least time until the work ahead has started, in milliseconds; 0 if the capacity is
   * unknown or unlimited.
   */
  private static double start(
      double capacity,
      List<WorkGroup> ahead,
      ToDoubleFunction<WorkGroup> work,
      ToDoubleFunction<Resources> amount,
      AdmissionRequest request,
      Backlog backlog) {
    if (capacity <= 0) {
      return 0;
    }
    Map<String, Double> doneByCustomer = new HashMap<>();
    List<double[]> counted = new ArrayList<>();
    double millis = 0;
    for (boolean running : new boolean[] {true, false}) {
      for (WorkGroup group : ahead) {
        if (group.running() != running) {
          continue;
        }
        double wanted = WORK_MARGIN * work.applyAsDouble(group);
        double done = doneByCustomer.getOrDefault(group.customer(), 0.0);
        double limit = backlog.limit(group.customer()).map(amount::applyAsDouble).orElse(0.0);
        if (!running) {
          if (limit > 0) {
            wanted = Math.min(wanted, atRate(limit, capacity, millis, group.runMillis(), done));
          }
          double allowed = group.capacityPart() * capacity;
          wanted = Math.min(wanted, atRate(allowed, capacity, millis, group.runMillis(), 0));
          if (!isEqual(group.place(), request.place())) {
            double usefulMillis = group.usefulUntilMillis() - backlog.atMillis() - millis;
            wanted = Math.min(wanted, Math.max(0, usefulMillis) * capacity);
          }
        }
        if (wanted > 0) {
          millis += wanted / capacity;
          doneByCustomer.put(group.customer(), done + wanted);
          counted.add(new double[] {group.runMillis(), wanted});
        }
      }
    }
    return millis - stillRunning(counted, capacity) / capacity;
  }

  /**
   * Returns the most work that has started, beyond what was done before, when it is the last one
   * ahead and uses at most a rate: in the time until then the rate applies, and what still runs is
   * at most one run long.
   */
  private static double atRate(
      double rate, double capacity, double millis, double runMillis, double done) {
    return rate >= capacity
        ? Double.MAX_VALUE
        : Math.max(0, rate * (millis + runMillis) - done) / (1 - rate / capacity);
  }

  /** Returns the most work that may be unfinished when all of it has started. */
  private static double stillRunning(List<double[]> counted, double capacity) {
    counted.sort(Comparator.comparingDouble((double[] next) -> next[0]).reversed());
    double room = capacity;
    double unfinished = 0;
    for (double[] next : counted) {
      double used = Math.min(room, next[1] / next[0]);
      unfinished += used * next[0];
      room -= used;
    }
    return unfinished;
  }
}
