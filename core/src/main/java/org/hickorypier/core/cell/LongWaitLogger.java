package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Logs what long-waiting steps wait for.
 *
 * <p>Invariant: the number of lines a check is bounded, whatever the number of waiting steps.
 * Confined to the control thread.
 */
final class LongWaitLogger {

  /** Exceeds the usual waits for advice and room. */
  private static final long FIRST_LINE_DELAY_MILLIS = 2_000;

  private static final long REPEAT_INTERVAL_MILLIS = 2_000;

  private static final long CHECK_INTERVAL_MILLIS = 1_000;

  /** Bounds the cost of a check: each reason needs a scan of all workers of the service. */
  private static final int MAX_LINES_PER_CHECK = 4;

  private final CellState cell;
  private final Map<StepRun, Long> nextLineAt = new HashMap<>();
  private long nextCheckAt;

  LongWaitLogger(CellState cell) {
    this.cell = cell;
  }

  void logLongWaits(long now) {
    if (now < nextCheckAt) {
      return;
    }
    nextCheckAt = now + CHECK_INTERVAL_MILLIS;
    Set<StepRun> open = cell.readySteps;
    nextLineAt.keySet().retainAll(open);
    int lines = 0;
    for (StepRun step : open) {
      long due = nextLineAt.computeIfAbsent(step, first -> now + FIRST_LINE_DELAY_MILLIS);
      if (now >= due && lines < MAX_LINES_PER_CHECK && cell.hasTasksToStart(step, now)) {
        lines++;
        nextLineAt.put(step, now + REPEAT_INTERVAL_MILLIS);
        cell.submissionEvent(
            "step-waits",
            step.submission,
            "step",
            step.occurrence + "." + step.index,
            "tasks",
            step.waitingCount(),
            "for",
            new Explanation(cell, step.submission, now).waitReason(step));
      }
    }
  }
}
