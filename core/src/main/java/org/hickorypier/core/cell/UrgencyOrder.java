package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.hickorypier.core.submission.QueueTerms;

/**
 * The order in which steps that wait are placed.
 *
 * <p>Made for a cell that is full: a burst of wide gangs beside a steady stream of short checks.
 * What can no longer be useful must not take room from what still can, and one customer's flood
 * must not make the others late. Stateless.
 */
final class UrgencyOrder {

  /** After three times its objective a submission is of no more use to its caller. */
  private static final int USEFUL_OBJECTIVE_FACTOR = 3;

  private UrgencyOrder() {}

  static List<StepRun> sorted(Collection<StepRun> open, LearnedWork learned, long now) {
    List<Ranked> ranked = new ArrayList<>(open.size());
    for (StepRun step : open) {
      ranked.add(rank(step, learned, now));
    }
    ranked.sort(
        Comparator.comparingInt(Ranked::band)
            .thenComparingInt(Ranked::priority)
            .thenComparing(Ranked::late)
            .thenComparingLong(Ranked::deadline));
    List<StepRun> sorted = new ArrayList<>(ranked.size());
    for (Ranked next : ranked) {
      sorted.add(next.step);
    }
    return sorted;
  }

  private static Ranked rank(StepRun step, LearnedWork learned, long now) {
    Submission submission = step.submission;
    QueueTerms queue = submission.spec().queue();
    long objective = submission.objectiveMillis(learned);
    long end = now + learned.atLeast(queue.name(), step.spec.estimateMillis());
    // What lasts is of use whenever it runs, and is wanted again from the moment when it was lost.
    long from = step.isPersistent() ? step.waitingSince() : submission.acceptedAt;
    boolean hopeless = !step.isPersistent() && end > from + USEFUL_OBJECTIVE_FACTOR * objective;
    int band = (submission.exceedsShare ? 1 : 0) + (hopeless ? 2 : 0);
    long deadline = from + objective;
    boolean late = !step.isPersistent() && end > deadline;
    return new Ranked(step, band, queue.priority(), late, deadline);
  }

  /** A step with what decides its place: what is late comes after what may still be in time. */
  private record Ranked(StepRun step, int band, int priority, boolean late, long deadline) {}
}
