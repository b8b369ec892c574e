package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.admission.AdmissionDecision;
import org.hickorypier.core.estimation.RunTimeEstimator;
import org.hickorypier.core.submission.CrashRecord;
import org.hickorypier.core.submission.MoveRecord;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;

/**
 * A submission at the owner of its cell.
 *
 * <p>Invariant: an end state is visible to callers only once it is durable. Confined to the control
 * thread.
 */
public final class Submission {

  private final SubmissionSpec spec;
  final StepRun[][] occurrences;

  /** Increases from submission to submission over all owners; 0 if its owner assigned none. */
  private final long number;

  /** Time of acceptance on the owner's monotonic clock, in milliseconds. */
  final long acceptedAt;

  /** Memory that it takes, in bytes, by an estimate. */
  final long estimatedBytes;

  /** Number of the first run; above the numbers of earlier owners, which are not known. */
  private final int firstRunNumber;

  SubmissionState state = SubmissionState.QUEUED;
  SubmissionState visibleState = SubmissionState.QUEUED;
  boolean durable;

  /** True if a worker that has not answered this owner may hold a run of it. */
  boolean mayHaveUnknownRuns;

  /** True if it exceeds its customer's rate; it is placed after submissions within the rate. */
  boolean exceedsShare;

  /** The least time until its end as estimated at its acceptance, in milliseconds; or unknown. */
  long estimateMillis = AdmissionDecision.UNKNOWN;

  long endedAtMillis;
  int unfinishedSteps;

  /** Counts changes; an end state becomes visible once its version is written. */
  long version;

  /** The chains of its steps as last calculated, or null. */
  private StepChains chains;

  Submission(SubmissionSpec spec, long number, long acceptedAt, int firstRunNumber) {
    this.spec = spec;
    this.number = number;
    this.acceptedAt = acceptedAt;
    this.firstRunNumber = firstRunNumber;
    this.estimatedBytes = SubmissionMemory.bytesOf(spec);
    this.occurrences = new StepRun[spec.occurrenceCount()][spec.steps().size()];
    int taskOffset = 0;
    for (int occurrence = 0; occurrence < occurrences.length; occurrence++) {
      for (int index = 0; index < spec.steps().size(); index++) {
        StepRun step = new StepRun(this, occurrence, index, spec.steps().get(index), taskOffset);
        occurrences[occurrence][index] = step;
        taskOffset += step.tasks.length;
        unfinishedSteps++;
      }
    }
  }

  /**
   * Returns the specification from the caller.
   *
   * @return the specification
   */
  public SubmissionSpec spec() {
    return spec;
  }

  /**
   * Returns the sequence number that its owner assigned.
   *
   * @return the number, or 0 if there is none
   */
  public long number() {
    return number;
  }

  /**
   * Returns the state that callers may see.
   *
   * @return the state
   */
  public SubmissionState visibleState() {
    return visibleState;
  }

  /**
   * Tells whether the submission is durable, so that it may be acknowledged.
   *
   * @return true once it is written
   */
  public boolean durable() {
    return durable;
  }

  /**
   * Returns its version, which counts its changes.
   *
   * @return the version
   */
  public long version() {
    return version;
  }

  /**
   * Tells whether there is progress to write in addition to the specification.
   *
   * @return false before its first change after acceptance
   */
  public boolean needsSaving() {
    return version > 1 || state.isTerminal();
  }

  /** Returns the time within which it meets its objective, in milliseconds. */
  long objectiveMillis(RunTimeEstimator durationEstimator) {
    return objectiveMillis(spec, chains(durationEstimator));
  }

  static long objectiveMillis(SubmissionSpec spec, StepChains chains) {
    return Math.round(spec.queue().stretch() * chains.longestMillis())
        + spec.queue().objectiveMillis();
  }

  /**
   * Returns the expected duration of the longest chain that begins with a step, in milliseconds.
   */
  long pathMillisFrom(StepRun step, RunTimeEstimator durationEstimator) {
    return chains(durationEstimator).millisFrom(step.index);
  }

  private StepChains chains(RunTimeEstimator durationEstimator) {
    if (chains == null || !chains.isCurrent(durationEstimator)) {
      chains = StepChains.of(spec, durationEstimator);
    }
    return chains;
  }

  int firstRunNumber() {
    return firstRunNumber;
  }

  boolean isLive() {
    return !state.isTerminal();
  }

  Task task(TaskName name) {
    if (name.occurrence() >= occurrences.length
        || name.step() >= spec.steps().size()
        || name.index() >= occurrences[name.occurrence()][name.step()].tasks.length) {
      return null;
    }
    return occurrences[name.occurrence()][name.step()].tasks[name.index()];
  }

  /**
   * Returns the state to store in addition to the specification.
   *
   * @return a copy of the progress
   */
  public SubmissionProgress progress() {
    List<BitSet> done = new ArrayList<>();
    Map<Integer, List<Integer>> failed = new HashMap<>();
    Map<Integer, CrashRecord> crashes = new HashMap<>();
    Map<Integer, MoveRecord> moves = new HashMap<>();
    for (StepRun[] steps : occurrences) {
      for (StepRun step : steps) {
        BitSet bits = new BitSet(step.tasks.length);
        for (Task task : step.tasks) {
          bits.set(task.index, task.done);
          if (!task.failedRunNumbers.isEmpty()) {
            failed.put(step.firstTaskOffset + task.index, List.copyOf(task.failedRunNumbers));
          }
          if (!task.done && task.crashes != null && !task.crashes.isEmpty()) {
            crashes.put(step.firstTaskOffset + task.index, task.crashes.toRecord());
          }
          MoveRecord known = task.toMoveRecord();
          if (known != null && moves.size() < SubmissionProgress.MAX_MOVE_RECORDS) {
            moves.put(step.firstTaskOffset + task.index, known);
          }
        }
        done.add(bits);
      }
    }
    return new SubmissionProgress(
        state,
        endedAtMillis,
        done,
        failed,
        state.isTerminal() ? Map.of() : crashes,
        state.isTerminal() ? Map.of() : moves);
  }

  void restore(SubmissionProgress progress, long now) {
    state = progress.state();
    visibleState = state;
    endedAtMillis = progress.endedAtMillis();
    durable = true;
    mayHaveUnknownRuns = true;
    // Version 1 is already written; the next change must exceed it, or it would not be written.
    version = 1;
    int stepIndex = 0;
    for (StepRun[] steps : occurrences) {
      for (StepRun step : steps) {
        restoreStep(step, progress, stepIndex < progress.completedTasks().size() ? stepIndex : -1);
        for (Task task : step.tasks) {
          CrashRecord crashes = progress.crashes().get(step.firstTaskOffset + task.index);
          task.crashes = crashes == null ? null : CrashHistory.restore(crashes, now);
          MoveRecord moves = progress.moves().get(step.firstTaskOffset + task.index);
          if (moves != null) {
            task.restoreMoves(moves);
          }
        }
        stepIndex++;
      }
    }
  }

  private void restoreStep(StepRun step, SubmissionProgress progress, int stepIndex) {
    for (Task task : step.tasks) {
      if (stepIndex >= 0 && progress.completedTasks().get(stepIndex).get(task.index)) {
        task.done = true;
        step.doneCount++;
      }
      progress
          .failedRuns()
          .getOrDefault(step.firstTaskOffset + task.index, List.of())
          .forEach(task::recordFailure);
    }
    if (step.isDone()) {
      unfinishedSteps--;
    }
  }
}
