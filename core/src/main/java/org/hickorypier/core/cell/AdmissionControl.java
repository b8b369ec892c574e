package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.admission.AdmissionController;
import org.hickorypier.core.admission.AdmissionDecision;
import org.hickorypier.core.admission.AdmissionRequest;
import org.hickorypier.core.admission.EstimateErrors;
import org.hickorypier.core.admission.Place;
import org.hickorypier.core.admission.StepDemand;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;

/**
 * Describes submissions of the cell to {@link AdmissionController}, and reports how wrong its
 * estimates were. Confined to the control thread.
 */
final class AdmissionControl {

  private static final String PART = "admission";

  /** Interval of the log lines about the errors of the estimates. */
  private static final long REPORT_MILLIS = 10_000;

  /** The fastest workers take about half of the mean run time. */
  private static final double FASTEST_PART = 0.5;

  private final CellState cell;
  private final LearnedRunTimes runTimes;
  private final BacklogReader backlogReader;
  private final AdmissionController controller;
  private long reportedAt;

  AdmissionControl(CellState cell) {
    this.cell = cell;
    this.runTimes = new LearnedRunTimes(cell);
    this.backlogReader = new BacklogReader(cell, runTimes);
    this.controller = new AdmissionController(cell.estimateErrors);
    this.reportedAt = cell.takenOverAt;
  }

  /**
   * Decides on a submission that the cell does not know.
   *
   * @param exceedsShare whether it exceeds its customer's rate
   */
  AdmissionDecision decide(SubmissionSpec spec, boolean exceedsShare, long now) {
    AdmissionRequest request = request(spec, exceedsShare, now, now);
    return controller.decide(request, backlogReader.read(now), now);
  }

  /** Returns the least time until a submission ends, in milliseconds; -1 if it is not known. */
  long estimateMillis(Submission submission, long now) {
    AdmissionRequest request =
        request(submission.spec(), submission.exceedsShare, submission.acceptedAt, now);
    return controller.estimateMillis(request, backlogReader.read(now));
  }

  /** Logs the errors of the estimates every 10 s. */
  void tick(long now) {
    if (now - reportedAt < REPORT_MILLIS) {
      return;
    }
    reportedAt = now;
    for (EstimateErrors.Report report : cell.estimateErrors.takeReports()) {
      cell.log.event(
          PART,
          "estimate-error",
          "queue",
          report.queue(),
          "ended",
          report.ended(),
          "too_long",
          report.tooLong(),
          "mean_estimate_ms",
          report.meanPredictedMillis(),
          "mean_real_ms",
          report.meanRealMillis(),
          "excess",
          report.excess());
    }
  }

  private AdmissionRequest request(
      SubmissionSpec spec, boolean exceedsShare, long acceptedAt, long now) {
    QueueTerms queue = spec.queue();
    StepChains chains = runTimes.chains(spec);
    long objective = Submission.objectiveMillis(spec, chains);
    long deadline = acceptedAt + objective;
    boolean late = now + chains.longestMillis() > deadline;
    Place place = new Place(exceedsShare ? 1 : 0, queue.priority(), late, deadline);
    long limit = UrgencyOrder.USEFUL_OBJECTIVE_FACTOR * objective - (now - acceptedAt);
    return new AdmissionRequest(
        spec.id(),
        spec.customer(),
        queue.name(),
        queue.service(),
        place,
        limit,
        isPredictable(spec),
        demands(spec));
  }

  /** Returns whether the end of a submission depends on room for known run times. */
  private boolean isPredictable(SubmissionSpec spec) {
    return !spec.isScheduled()
        && runTimes.isKnown(spec.queue().name())
        && spec.steps().stream()
            .noneMatch(step -> step.flags().persistent() || step.flags().opportunistic());
  }

  private List<StepDemand> demands(SubmissionSpec spec) {
    List<StepSpec> steps = spec.steps();
    long[] tails = new long[steps.size()];
    for (int index = tails.length - 1; index >= 0; index--) {
      tails[index] += leastMillis(spec, steps.get(index));
      for (int earlier : steps.get(index).dependsOn()) {
        tails[earlier] = Math.max(tails[earlier], tails[index]);
      }
    }
    // The advice of the first step is requested after acceptance, that of the others ahead.
    long adviceMillis =
        spec.queue().advice().map(terms -> Math.round(terms.callMillis(1))).orElse(0L);
    List<StepDemand> demands = new ArrayList<>();
    for (int index = 0; index < tails.length; index++) {
      StepSpec step = steps.get(index);
      long runMillis = runTimes.taskMillis(spec.queue().name(), step.estimateMillis());
      double work = (double) step.count() * runMillis;
      demands.add(
          new StepDemand(
              BacklogReader.unit(step),
              step.requires(),
              tails[index] + (step.dependsOn().isEmpty() ? adviceMillis : 0),
              runMillis,
              step.reservedResources().milliProcessors() * work,
              step.reservedResources().memoryMebibytes() * work));
    }
    return demands;
  }

  private long leastMillis(SubmissionSpec spec, StepSpec step) {
    long learned = runTimes.taskMillis(spec.queue().name(), step.estimateMillis());
    return Math.round(FASTEST_PART * Math.min(learned, step.estimateMillis()));
  }
}
