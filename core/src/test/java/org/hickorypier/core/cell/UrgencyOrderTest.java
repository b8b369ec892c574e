package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.estimation.RunTimeEstimator;
import org.hickorypier.core.submission.QueueTerms;
import org.junit.jupiter.api.Test;

/**
 * Checks the order in a full cell with a backlog that is too late to be of use, excess submissions
 * of one customer, urgent checks and wide gangs.
 */
class UrgencyOrderTest {

  private static StepRun waitingStep(String id, int priority, long acceptedAt, boolean beyond) {
    QueueTerms queue = new QueueTerms("q", "service", priority, 1, 2, 500, Optional.empty());
    Submission submission =
        new Submission(spec(id, queue, step(1, 1_000, 1_000, false)), 1, acceptedAt, 1);
    submission.exceedsShare = beyond;
    return submission.occurrences[0][0];
  }

  /**
   * A check of 0.6 s is estimated at 0.07 s. By the estimate it is too late to be of use before it
   * is due; by the learned duration of such checks it is in time, and precedes the batches.
   */
  @Test
  void learnedDurationOverridesTooLowEstimate() {
    QueueTerms queue = new QueueTerms("checks", "service", 0, 1, 1.5, 250, Optional.empty());
    Submission check = new Submission(spec("check", queue, step(1, 1_000, 70, false)), 1, 0, 1);
    StepRun batch = waitingStep("batch", 2, 0, false);
    RunTimeEstimator durationEstimator = new RunTimeEstimator();
    long now = 1_100;
    assertThat(
            UrgencyOrder.sorted(
                    List.of(batch, check.occurrences[0][0]), durationEstimator, held -> false, now)
                .get(0))
        .isSameAs(batch);
    durationEstimator.recordRun("checks", 70, 640, 1);
    assertThat(
            UrgencyOrder.sorted(
                    List.of(batch, check.occurrences[0][0]), durationEstimator, held -> false, now)
                .get(0))
        .isSameAs(check.occurrences[0][0]);
  }

  @Test
  void lostPersistentTaskIsPlacedBeforeLateWork() {
    long now = 100_000;
    QueueTerms queue = new QueueTerms("q", "service", 1, 1, 2, 500, Optional.empty());
    Submission service =
        new Submission(spec("service", queue, CellFixture.persistentStep(1)), 1, now - 60_000, 1);
    StepRun lost = service.occurrences[0][0];
    lost.tasks[0].waitingSince = now - 100;
    StepRun late = waitingStep("late", 1, now - 2_000, false);
    assertThat(UrgencyOrder.sorted(List.of(late, lost), new RunTimeEstimator(), held -> false, now))
        .containsExactly(lost, late);
    // A new owner does not know when the run was lost.
    lost.tasks[0].waitingSince = 0;
    StepRun inTime = waitingStep("in time", 1, now - 100, false);
    assertThat(
            UrgencyOrder.sorted(List.of(inTime, lost), new RunTimeEstimator(), held -> false, now))
        .containsExactly(lost, inTime);
  }

  @Test
  void urgentWorkIsPlacedFirstAndUselessWorkLast() {
    long now = 100_000;
    StepRun useless = waitingStep("hopeless", 0, now - 20_000, false);
    StepRun late = waitingStep("late", 0, now - 2_000, false);
    StepRun urgent = waitingStep("urgent", 0, now - 100, false);
    StepRun usual = waitingStep("usual", 1, now - 500, false);
    StepRun excess = waitingStep("flood", 0, now - 50, true);

    assertThat(
            UrgencyOrder.sorted(
                List.of(useless, late, excess, usual, urgent),
                new RunTimeEstimator(),
                held -> false,
                now))
        .containsExactly(urgent, late, usual, excess, useless);
  }

  /** Guards against shares that put late or less urgent work before urgent work in time. */
  @Test
  void stepsHeldBackGoBehindOthersOfTheSameClassOnly() {
    long now = 100_000;
    StepRun held = waitingStep("held", 1, now - 200, false);
    StepRun other = waitingStep("other", 1, now - 100, false);
    StepRun lessUrgent = waitingStep("less", 2, now - 500, false);

    assertThat(
            UrgencyOrder.sorted(
                List.of(lessUrgent, held, other),
                new RunTimeEstimator(),
                step -> step == held,
                now))
        .containsExactly(other, held, lessUrgent);
  }
}
