package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tells the log what steps wait for that have waited long.
 *
 * <p>Invariant: a few lines a look at most, whatever the number of waiting steps. Belongs to the
 * control thread.
 */
final class WaitLog {

  /** Longer than any usual wait for advice and room. */
  private static final long LONG_MILLIS = 2_000;

  private static final long REPEAT_MILLIS = 2_000;

  private static final long LOOK_MILLIS = 1_000;

  /** Working out a reason looks at every worker of the service. */
  private static final int MOST_LINES = 4;

  private final CellState cell;
  private final Map<StepRun, Long> nextLineAt = new HashMap<>();
  private long nextLookAt;

  WaitLog(CellState cell) {
    this.cell = cell;
  }

  void look(long now) {
    if (now < nextLookAt) {
      return;
    }
    nextLookAt = now + LOOK_MILLIS;
    Set<StepRun> open = cell.open;
    nextLineAt.keySet().retainAll(open);
    int lines = 0;
    for (StepRun step : open) {
      long due = nextLineAt.computeIfAbsent(step, first -> now + LONG_MILLIS);
      if (now >= due && lines < MOST_LINES && step.anyWaiting()) {
        lines++;
        nextLineAt.put(step, now + REPEAT_MILLIS);
        cell.submissionEvent(
            "step-waits",
            step.submission,
            "step",
            step.occurrence + "." + step.index,
            "tasks",
            step.waitingCount(),
            "for",
            new Explanation(cell, step.submission, now).reason(step));
      }
    }
  }
}
