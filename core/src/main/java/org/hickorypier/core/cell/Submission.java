package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.submission.Progress;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;

/**
 * A submission in the hands of its owner.
 *
 * <p>Invariant: callers are shown an end state only once it is durable. Belongs to the control
 * thread.
 */
public final class Submission {

  private final SubmissionSpec spec;
  final StepRun[][] occurrences;

  /** Rises from one submission to the next, over all owners; 0 if its owner gave it none. */
  private final long number;

  /** When it came, on the owner's steady clock. */
  final long acceptedAt;

  /** Numbers of runs begin here: a successor cannot know the numbers its predecessor used. */
  private final int firstRunNumber;

  SubmissionState state = SubmissionState.QUEUED;
  SubmissionState visibleState = SubmissionState.QUEUED;
  boolean durable;

  /** Some run may be at work on a worker that this owner has not heard yet. */
  boolean mayHaveUnknownRuns;

  /** Beyond the customer's rate: it comes after what is within it. */
  boolean exceedsShare;

  long endedAtMillis;
  int unfinishedSteps;

  /** Counts changes; what was written last tells what may be shown. */
  long version;

  Submission(SubmissionSpec spec, long number, long acceptedAt, int firstRun) {
    this.spec = spec;
    this.number = number;
    this.acceptedAt = acceptedAt;
    this.firstRunNumber = firstRun;
    this.occurrences = new StepRun[spec.occurrences()][spec.steps().size()];
    int place = 0;
    for (int occurrence = 0; occurrence < occurrences.length; occurrence++) {
      for (int index = 0; index < spec.steps().size(); index++) {
        StepRun step = new StepRun(this, occurrence, index, spec.steps().get(index), place);
        occurrences[occurrence][index] = step;
        place += step.tasks.length;
        unfinishedSteps++;
      }
    }
  }

  /**
   * Returns what the caller handed in.
   *
   * @return the specification
   */
  public SubmissionSpec spec() {
    return spec;
  }

  /**
   * Returns the number under which its owner took it.
   *
   * @return the number, or 0 if there is none
   */
  public long number() {
    return number;
  }

  /**
   * Returns what callers may be told.
   *
   * @return the state
   */
  public SubmissionState visibleState() {
    return visibleState;
  }

  /**
   * Tells whether the submission itself is durable, so that it may be acknowledged.
   *
   * @return true once it was written
   */
  public boolean durable() {
    return durable;
  }

  /**
   * Returns the number of its latest change.
   *
   * @return the number
   */
  public long version() {
    return version;
  }

  /**
   * Tells whether there is anything to write beside the specification.
   *
   * @return false before the first end of a task
   */
  public boolean needsSaving() {
    return version > 1 || state.terminal();
  }

  /** Returns how long it may take to be in time, in milliseconds. */
  long objectiveMillis(LearnedWork learned) {
    long chain = learned.atLeast(spec.queue().name(), spec.longestChainMillis());
    return Math.round(spec.queue().stretch() * chain) + spec.queue().objectiveMillis();
  }

  int firstRunNumber() {
    return firstRunNumber;
  }

  boolean isLive() {
    return !state.terminal();
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
   * Returns what must last beside the specification.
   *
   * @return a copy of the progress
   */
  public Progress progress() {
    List<BitSet> done = new ArrayList<>();
    Map<Integer, List<Integer>> failed = new HashMap<>();
    for (StepRun[] steps : occurrences) {
      for (StepRun step : steps) {
        BitSet bits = new BitSet(step.tasks.length);
        for (Task task : step.tasks) {
          bits.set(task.index, task.done);
          if (!task.failedRunNumbers.isEmpty()) {
            failed.put(step.firstTaskOffset + task.index, List.copyOf(task.failedRunNumbers));
          }
        }
        done.add(bits);
      }
    }
    return new Progress(state, endedAtMillis, done, failed);
  }

  void restore(Progress progress) {
    state = progress.state();
    visibleState = state;
    endedAtMillis = progress.endedAtMillis();
    durable = true;
    mayHaveUnknownRuns = true;
    // What was taken over has been written once; each change from here on is worth writing.
    version = 1;
    int place = 0;
    for (StepRun[] steps : occurrences) {
      for (StepRun step : steps) {
        restoreStep(step, progress, place < progress.done().size() ? place : -1);
        place++;
      }
    }
  }

  private void restoreStep(StepRun step, Progress progress, int place) {
    for (Task task : step.tasks) {
      if (place >= 0 && progress.done().get(place).get(task.index)) {
        task.done = true;
        step.doneCount++;
      }
      task.failedRunNumbers.addAll(
          progress.failedRuns().getOrDefault(step.firstTaskOffset + task.index, List.of()));
    }
    if (step.isDone()) {
      unfinishedSteps--;
    }
  }
}
