package org.hickorypier.core.cell;

import java.util.List;
import org.hickorypier.core.estimation.RunTimeEstimator;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;

/**
 * The expected durations of the longest chains of dependent steps of a submission.
 *
 * <p>Load: a scheduling pass asks for them several times for each step, and callers choose the
 * number of steps. All are therefore calculated in one go, in time linear in the steps and their
 * dependencies. Immutable.
 */
final class StepChains {

  private final RunTimeEstimator source;
  private final String queue;
  private final int knownRuns;
  private final long[] millisFrom;
  private final long longestMillis;

  private StepChains(RunTimeEstimator source, String queue, long[] millisFrom) {
    this.source = source;
    this.queue = queue;
    this.knownRuns = source.knownRuns(queue);
    this.millisFrom = millisFrom;
    long longest = 0;
    for (long millis : millisFrom) {
      longest = Math.max(longest, millis);
    }
    this.longestMillis = longest;
  }

  /** Calculates the durations with the present estimates. Steps depend on earlier ones only. */
  static StepChains of(SubmissionSpec spec, RunTimeEstimator estimator) {
    String queue = spec.queue().name();
    List<StepSpec> steps = spec.steps();
    long[] millisFrom = new long[steps.size()];
    for (int index = millisFrom.length - 1; index >= 0; index--) {
      StepSpec step = steps.get(index);
      millisFrom[index] += estimator.expectedMillis(queue, step.estimateMillis());
      for (int earlier : step.dependsOn()) {
        millisFrom[earlier] = Math.max(millisFrom[earlier], millisFrom[index]);
      }
    }
    return new StepChains(estimator, queue, millisFrom);
  }

  /** Returns whether the estimates are still those of the given estimator. */
  boolean isCurrent(RunTimeEstimator estimator) {
    return estimator == source && estimator.knownRuns(queue) == knownRuns;
  }

  /** Returns the duration of a step and of the longest chain of steps after it. */
  long millisFrom(int step) {
    return millisFrom[step];
  }

  /** Returns the duration of the longest chain. */
  long longestMillis() {
    return longestMillis;
  }
}
