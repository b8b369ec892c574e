package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Describes the state of a submission and what its tasks wait for. Confined to the control thread.
 */
final class Explanation {

  private static final int MAX_LISTED_WORKERS = 3;
  private static final int MAX_LISTED_RUNS = 50;

  /** An explanation crosses a link between instances in one frame of 1 MiB at most. */
  private static final int MAX_CHARACTERS = 200_000;

  private final CellState cell;
  private final Submission submission;
  private final long now;

  Explanation(CellState cell, Submission submission, long now) {
    this.cell = cell;
    this.submission = submission;
    this.now = now;
  }

  List<String> lines() {
    List<String> lines = new ArrayList<>();
    String id = submission.spec().id();
    lines.add(
        id
            + ": "
            + submission.state
            + ", visible as "
            + submission.visibleState
            + ", durable "
            + submission.durable
            + ", customer "
            + submission.spec().customer()
            + ", queue "
            + submission.spec().queue().name()
            + ", since "
            + (now - submission.acceptedAt)
            + " ms");
    int characters = 0;
    int left = submission.occurrences.length * submission.spec().steps().size();
    for (StepRun[] steps : submission.occurrences) {
      for (StepRun step : steps) {
        if (characters > MAX_CHARACTERS) {
          lines.add(id + ": and " + left + " more steps");
          return lines;
        }
        String line = id + ": " + line(step);
        lines.add(line);
        characters += line.length();
        left--;
      }
    }
    return lines;
  }

  private String line(StepRun step) {
    StringBuilder line = new StringBuilder("step ");
    line.append(step.occurrence).append('.').append(step.index).append(": ");
    line.append(step.doneCount).append(" of ").append(step.tasks.length).append(" done");
    int runs = 0;
    for (Task task : step.tasks) {
      Run run = task.currentRun;
      if (run != null && ++runs <= MAX_LISTED_RUNS) {
        line.append("; ").append(task.index).append(" run ").append(run.key.number());
        line.append(" on ").append(run.worker.id());
        line.append(" of speed ").append(run.worker.placingFactor);
        line.append(run.isConfirmed() ? " confirmed" : " ordered");
        line.append(run.stopping ? " stopping" : "").append(" for ").append(now - run.orderedAt);
        line.append(" ms, ").append(run.percent).append('%');
      }
    }
    if (runs > MAX_LISTED_RUNS) {
      line.append("; and ").append(runs - MAX_LISTED_RUNS).append(" more runs");
    }
    if (!step.isDone() && step.hasWaitingTasks()) {
      line.append("; waits for ").append(waitReason(step));
      line.append("; in time on workers up to speed ").append(step.allowedFactor);
    }
    return line.toString();
  }

  private String unresolvedWorkers() {
    return cell.workers.values().stream()
        .filter(worker -> cell.isUnresolved(worker, now))
        .limit(MAX_LISTED_WORKERS)
        .map(
            worker ->
                worker.id()
                    + (cell.mayHoldUnknownEnds(worker, now) ? " (ends not all read)" : "")
                    + " for "
                    + cell.remainingLeaseMillis(worker, now)
                    + " ms")
        .collect(Collectors.joining(", "));
  }

  /** Returns why the waiting tasks of a step do not start, as text for operators. */
  String waitReason(StepRun step) {
    if (!submission.isLive()) {
      return "nothing: the submission has ended";
    }
    if (!cell.readySteps.contains(step)) {
      return "its turn: an unfinished dependency, a start time or a pending write";
    }
    if (cell.waitsForUnheardWorkers(submission, cell.lastUnresolvedNumber(now))) {
      return "workers that may already run it or list its end: " + unresolvedWorkers();
    }
    if (!cell.usage.isConfigured()) {
      return "the configuration with the customers' limits";
    }
    if (step.preemption != null) {
      return "room that is made by stops: "
          + step.preemption.activeVictims()
          + " of "
          + step.preemption.victims().size()
          + " runs still stop, for "
          + (step.preemption.until() - now)
          + " ms at most";
    }
    if (!step.isGang() && cell.orderWindow.room(step) == 0) {
      return "answers to the start orders in transit";
    }
    int together = step.isGang() ? step.tasks.length : 1;
    String customer = submission.spec().customer();
    if (!cell.usage.allows(customer, step.spec.taskResources(), together)) {
      return "its customer's resource limit"
          + (together > 1 ? ", which has no room for all " + together + " tasks" : "")
          + (cell.headroom.isHolder(step) ? "; holds back less urgent work of the customer" : "");
    }
    StepRun blocker = cell.headroom.blockerOf(step, together, now);
    if (blocker != null) {
      return "room under its customer's limit beside what is held for "
          + blocker.submission.spec().id();
    }
    if (cell.shares.isHeldBack(step, now)) {
      return "customers below their share, which wait too";
    }
    if (!cell.evacuations.isUpToDate(now)) {
      return "a read of the operator's evacuations";
    }
    for (Task task : step.tasks) {
      CrashVerdict verdict = cell.crashVerdict(task.crashUnit(), now);
      if (task.isWaiting() && verdict != CrashVerdict.START) {
        return waitReason(task, verdict);
      }
    }
    List<WorkerView> accepting = cell.acceptingWorkers(submission.spec().queue().service(), now);
    int freeSlots = 0;
    int suitableSlots = 0;
    for (WorkerView worker : accepting) {
      int slots = Placer.matches(step.spec, worker) ? Placer.freeSlots(step, worker) : 0;
      freeSlots += slots;
      suitableSlots += step.advice == null || step.advice.isSuitable(worker) ? slots : 0;
    }
    List<WorkerView> usable = cell.usableWorkers(submission.spec().queue().service(), now);
    long unreserved = Dispatcher.unreservedMilliProcessors(cell, step, usable);
    if (unreserved < step.spec.taskResources().milliProcessors()) {
      return "room beside the reserve for urgent work, which leaves "
          + Math.max(0, unreserved)
          + " millicores";
    }
    return "room: "
        + freeSlots
        + " free slots on "
        + accepting.size()
        + " workers, "
        + suitableSlots
        + " on suitable workers, advice requested "
        + (step.advice != null && step.advice.requestedAt > 0)
        + evacuatedWorkers(submission.spec().queue().service());
  }

  private static String waitReason(Task task, CrashVerdict verdict) {
    String reason =
        switch (verdict) {
          case START_ALONE -> "a worker where nothing else runs";
          case GIVE_UP -> "nothing: it crashes its workers";
          default -> "news of workers that may have crashed under it";
        };
    return reason + ", task " + task.index + " lost runs " + task.crashUnit().crashes.summary();
  }

  private String evacuatedWorkers(String service) {
    long evacuated =
        cell.workers.values().stream()
            .filter(worker -> worker.evacuated && worker.entry().service().equals(service))
            .count();
    return evacuated == 0 ? "" : ", without " + evacuated + " workers in evacuated data centres";
  }
}
