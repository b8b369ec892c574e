package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.hickorypier.core.admission.Place;
import org.hickorypier.core.estimation.RunTimeEstimator;
import org.hickorypier.core.submission.QueueTerms;

/**
 * Defines the order in which waiting steps are placed.
 *
 * <p>The order matters in a full cell, such as one with a burst of wide gangs beside a steady
 * stream of short checks. Work that is too late to be of use must not take room from work that
 * still is, and excess submissions of one customer must not delay the others. Stateless.
 */
final class UrgencyOrder {

  /** Multiple of its objective after which a submission is of no use to its caller. */
  static final int USEFUL_OBJECTIVE_FACTOR = 3;

  /** Shares decide only between steps of one band, priority and lateness. */
  private static final Comparator<Ranked> RANKING =
      Comparator.comparing(Ranked::place, Place.CLASS_ORDER)
          .thenComparing(Ranked::heldBack)
          .thenComparing(Ranked::place);

  /** The bands from this one on hold work that ends too late to be of use. */
  static final int FIRST_USELESS_BAND = 2;

  private UrgencyOrder() {}

  /**
   * Returns the steps in the order in which they are placed.
   *
   * @param isHeldBack whether a step goes behind those of customers that are below their share
   */
  static List<StepRun> sorted(
      Collection<StepRun> open,
      RunTimeEstimator durationEstimator,
      Predicate<StepRun> isHeldBack,
      long now) {
    List<Ranked> ranked = new ArrayList<>(open.size());
    for (StepRun step : open) {
      ranked.add(new Ranked(step, place(step, durationEstimator, now), isHeldBack.test(step)));
    }
    ranked.sort(RANKING);
    List<StepRun> sorted = new ArrayList<>(ranked.size());
    for (Ranked next : ranked) {
      sorted.add(next.step);
    }
    return sorted;
  }

  /** Returns the place of a step: late work comes after work that may meet its objective. */
  static Place place(StepRun step, RunTimeEstimator durationEstimator, long now) {
    Submission submission = step.submission;
    QueueTerms queue = submission.spec().queue();
    long objective = submission.objectiveMillis(durationEstimator);
    long expectedEnd =
        now + durationEstimator.expectedMillis(queue.name(), step.spec.estimateMillis());
    // A persistent task is useful at any time, and its objective counts from the loss of its run.
    long from = step.isPersistent() ? step.waitingSince() : submission.acceptedAt;
    boolean useless =
        !step.isPersistent() && expectedEnd > from + USEFUL_OBJECTIVE_FACTOR * objective;
    int band = (submission.exceedsShare ? 1 : 0) + (useless ? FIRST_USELESS_BAND : 0);
    long deadline = from + objective;
    boolean late = !step.isPersistent() && expectedEnd > deadline;
    return new Place(band, queue.priority(), late, deadline);
  }

  /** A step with its sort keys. */
  private record Ranked(StepRun step, Place place, boolean heldBack) {}
}
