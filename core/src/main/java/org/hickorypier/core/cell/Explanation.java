package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Says where a submission stands and what its tasks wait for. Belongs to the control thread. */
final class Explanation {

  private static final int MAX_LISTED_WORKERS = 3;

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
            + ", shown as "
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
    for (StepRun[] steps : submission.occurrences) {
      for (StepRun step : steps) {
        lines.add(id + ": " + line(step));
      }
    }
    return lines;
  }

  private String line(StepRun step) {
    StringBuilder line = new StringBuilder("step ");
    line.append(step.occurrence).append('.').append(step.index).append(": ");
    line.append(step.doneCount).append(" of ").append(step.tasks.length).append(" done");
    for (Task task : step.tasks) {
      Run run = task.currentRun;
      if (run != null) {
        line.append("; ").append(task.index).append(" run ").append(run.key.number());
        line.append(" on ").append(run.worker.id());
        line.append(run.confirmed() ? " confirmed" : " ordered");
        line.append(run.stopping ? " stopping" : "").append(" for ").append(now - run.orderedAt);
        line.append(" ms, ").append(run.percent).append('%');
      }
    }
    if (!step.isDone() && step.hasWaitingTasks()) {
      line.append("; waits for ").append(waitReason(step));
    }
    return line.toString();
  }

  private String unresolvedWorkers() {
    return cell.workers.values().stream()
        .filter(worker -> cell.mayHoldUnknownRuns(worker, now))
        .limit(MAX_LISTED_WORKERS)
        .map(worker -> worker.id() + " for " + cell.remainingLeaseMillis(worker, now) + " ms")
        .collect(Collectors.joining(", "));
  }

  /** Returns what the waiting tasks of a step wait for. */
  String waitReason(StepRun step) {
    if (!submission.isLive()) {
      return "nothing: the submission has ended";
    }
    if (!cell.readySteps.contains(step)) {
      return "its turn";
    }
    if (cell.waitsForUnheardWorkers(submission, cell.lastUnresolvedNumber(now))) {
      return "workers that may run it already: " + unresolvedWorkers();
    }
    if (!cell.usage.isConfigured()) {
      return "the configuration, which has the customers' limits";
    }
    if (!cell.usage.allows(submission.spec().customer(), step.spec.each(), 1)) {
      return "its customer's limit";
    }
    List<WorkerView> taking = cell.acceptingWorkers(submission.spec().queue().service(), now);
    int room = 0;
    int suitable = 0;
    for (WorkerView worker : taking) {
      int slots = Placer.matches(step.spec, worker) ? Placer.freeSlots(step, worker) : 0;
      room += slots;
      suitable += step.advice == null || step.advice.isSuitable(worker) ? slots : 0;
    }
    if (Dispatcher.isBlockedByReserve(cell, step, taking)) {
      return "room beside the reserve for urgent work: "
          + cell.reserve.reservedMilliProcessors(submission.spec().queue().service())
          + " thousandths of a core";
    }
    return "room: "
        + room
        + " places on "
        + taking.size()
        + " workers, "
        + suitable
        + " on suitable ones, asked "
        + (step.advice != null && step.advice.requestedAt > 0);
  }
}
