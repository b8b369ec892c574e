package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Says where a submission stands and what its tasks wait for. Belongs to the control thread. */
final class Explanation {

  private static final int MOST_NAMED_WORKERS = 3;

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
            + submission.shown
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
      Run run = task.current;
      if (run != null) {
        line.append("; ").append(task.index).append(" run ").append(run.key.number());
        line.append(" on ").append(run.worker.id());
        line.append(run.isConfirmed() ? " confirmed" : " ordered");
        line.append(run.stopping ? " stopping" : "").append(" for ").append(now - run.orderedAt);
        line.append(" ms, ").append(run.percent).append('%');
      }
    }
    if (!step.done() && step.anyWaiting()) {
      line.append("; waits for ").append(reason(step));
    }
    return line.toString();
  }

  private String unresolvedWorkers() {
    return cell.workers.values().stream()
        .filter(worker -> cell.unresolved(worker, now))
        .limit(MOST_NAMED_WORKERS)
        .map(worker -> worker.id() + " for " + cell.mayRunMillis(worker, now) + " ms")
        .collect(Collectors.joining(", "));
  }

  /** Returns what the waiting tasks of a step wait for. */
  String reason(StepRun step) {
    if (!submission.live()) {
      return "nothing: the submission has ended";
    }
    if (!cell.open.contains(step)) {
      return "its turn";
    }
    if (cell.waitsForWorkers(submission, cell.unresolvedUpTo(now))) {
      return "workers that may run it already: " + unresolvedWorkers();
    }
    if (!cell.usage.configured()) {
      return "the configuration, which has the customers' limits";
    }
    if (!cell.usage.allows(submission.spec().customer(), step.spec.taskResources(), 1)) {
      return "its customer's limit";
    }
    List<WorkerView> taking = cell.taking(submission.spec().queue().service(), now);
    int room = 0;
    int suitable = 0;
    for (WorkerView worker : taking) {
      int slots = Placer.matches(step.spec, worker) ? Placer.slots(step, worker) : 0;
      room += slots;
      suitable += step.advice == null || step.advice.suitable(worker) ? slots : 0;
    }
    if (Dispatch.beyondReserve(cell, step, taking)) {
      return "room beside the reserve for urgent work: "
          + cell.reserve.processors(submission.spec().queue().service())
          + " thousandths of a core";
    }
    return "room: "
        + room
        + " places on "
        + taking.size()
        + " workers, "
        + suitable
        + " on suitable ones, asked "
        + (step.advice != null && step.advice.askedAt > 0);
  }
}
