package org.hickorypier.core.verification;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.RunEnd;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;

/**
 * Checks the promises from what workers and callers see, never from an owner's state.
 *
 * <p>Thread safe: the record comes from several threads where real processes are checked.
 */
public final class GuaranteeChecker {

  /** A cancelled submission starts nothing later than this after the acknowledgement. */
  private static final long CANCEL_MILLIS = 3_000;

  /** A customer may have a tenth more running than its limit, and one task. */
  private static final int LIMIT_NUMERATOR = 11;

  private static final int LIMIT_DENOMINATOR = 10;

  private final LongSupplier clock;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, SubmissionSpec> recordSubmitted = new HashMap<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();
  private final Set<String> recordRejected = new HashSet<>();
  private final Set<String> begun = new HashSet<>();
  private final Map<TaskName, Set<ObservedRun>> running = new HashMap<>();
  private final Map<TaskName, List<DoneEnd>> done = new HashMap<>();
  private final Map<TaskName, Set<Integer>> failedSeen = new HashMap<>();
  private final Map<TaskName, Set<Integer>> failedNoted = new HashMap<>();
  private final Map<String, Long> usedByCustomer = new HashMap<>();
  private final Map<String, Long> usedOnWorker = new HashMap<>();
  private final Map<String, Resources> limits = new HashMap<>();
  private final Map<String, Resources> capacities = new HashMap<>();
  private final PersistentTaskMonitor lasting = new PersistentTaskMonitor();
  private int startCount;

  /**
   * Creates a checker of an empty record.
   *
   * @param clock the time, in milliseconds
   */
  public GuaranteeChecker(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Sets what a customer may have running.
   *
   * @param customer the customer
   * @param limit the limit
   */
  public synchronized void setLimit(String customer, Resources limit) {
    limits.put(customer, limit);
  }

  /**
   * Sets what a worker holds.
   *
   * @param worker its id
   * @param capacity its room
   */
  public synchronized void setCapacity(String worker, Resources capacity) {
    capacities.put(worker, capacity);
  }

  /**
   * A caller begins to hand a submission in.
   *
   * @param spec the submission
   */
  public synchronized void recordSubmitted(SubmissionSpec spec) {
    recordSubmitted.put(spec.id(), spec);
  }

  /**
   * All tries of a caller to hand a submission in were refused, so it must never run.
   *
   * @param id its id
   */
  public synchronized void recordRejected(String id) {
    recordRejected.add(id);
    if (begun.contains(id)) {
      violations.add(clock.getAsLong() + ": " + id + " was refused and has run");
    }
  }

  /**
   * A caller was told that a submission is accepted.
   *
   * @param id its id
   */
  public synchronized void recordAccepted(String id) {
    lasting.recordAccepted(recordSubmitted.get(id), clock.getAsLong());
  }

  /**
   * A caller has asked to cancel a submission; whether that took effect is open.
   *
   * @param id its id
   */
  public synchronized void recordCancelRequested(String id) {
    lasting.recordCancelRequested(id);
  }

  /** An unplanned disruption is there. */
  public synchronized void recordDisruption() {
    lasting.recordDisruption(clock.getAsLong());
  }

  /**
   * Checks that tasks that last run again in time; to be called several times a second.
   *
   * @param sound the workers that may take work
   */
  public synchronized void checkPersistentTasks(Collection<String> sound) {
    long now = clock.getAsLong();
    for (TaskName task : lasting.findOverdue(name -> roomTwiceOver(name, sound), now)) {
      violations.add(
          now + ": no run for " + lasting.idleMillis(task, now) + " ms, with room for it: " + task);
    }
  }

  /** Checks at the end that all tasks that last are at work. */
  public synchronized void checkPersistentTasksRunning() {
    for (TaskName task : lasting.idleTasks()) {
      violations.add(clock.getAsLong() + ": not at work at the end: " + task);
    }
  }

  private boolean roomTwiceOver(TaskName task, Collection<String> sound) {
    SubmissionSpec spec = recordSubmitted.get(task.submission());
    long size = spec.steps().get(task.step()).taskResources().milliProcessors();
    Resources limit = limits.get(spec.customer());
    if (limit != null
        && 2 * usedByCustomer.getOrDefault(spec.customer(), 0L) >= limit.milliProcessors()) {
      return false;
    }
    long places = 0;
    for (String worker : sound) {
      long used = usedOnWorker.getOrDefault(worker, 0L);
      places += (capacities.get(worker).milliProcessors() - used) / size;
    }
    return places >= 2;
  }

  /**
   * A caller was told that a submission is cancelled.
   *
   * @param id its id
   */
  public synchronized void recordCancelAcknowledged(String id) {
    cancelledAt.putIfAbsent(id, clock.getAsLong());
  }

  /**
   * A worker has begun a run.
   *
   * @param run the run
   */
  public synchronized void recordStart(ObservedRun run) {
    startCount++;
    TaskName task = run.key().task();
    SubmissionSpec spec = recordSubmitted.get(task.submission());
    if (spec == null) {
      breach("start of what nobody handed in", run.key());
      return;
    }
    begun.add(spec.id());
    if (recordRejected.contains(spec.id())) {
      breach("start of what was refused", run.key());
    }
    Set<ObservedRun> others = running.computeIfAbsent(task, key -> new HashSet<>());
    if (!others.isEmpty()) {
      breach("two runs at once, the other on " + others.iterator().next().worker(), run.key());
    }
    others.add(run);
    if (lasts(spec, task)) {
      lasting.recordStart(task);
    }
    for (DoneEnd end : done.getOrDefault(task, List.of())) {
      if (end.noted) {
        breach("start after an acknowledged end", run.key());
      }
      end.startedAfter = true;
    }
    checkOrder(spec, run);
    checkBudget(spec, run);
    checkRoom(spec, run);
    Long cancelled = cancelledAt.get(task.submission());
    if (cancelled != null && clock.getAsLong() > cancelled + CANCEL_MILLIS) {
      breach("start after the cancellation", run.key());
    }
  }

  private void checkOrder(SubmissionSpec spec, ObservedRun run) {
    TaskName task = run.key().task();
    for (int earlier : spec.steps().get(task.step()).dependsOn()) {
      if (!allDone(spec, task.occurrence(), earlier)) {
        breach("start before step " + earlier + " was done", run.key());
      }
    }
  }

  private boolean allDone(SubmissionSpec spec, int occurrence, int step) {
    for (int index = 0; index < spec.steps().get(step).count(); index++) {
      if (!hasEnded(spec, new TaskName(spec.id(), occurrence, step, index))) {
        return false;
      }
    }
    return true;
  }

  private boolean hasEnded(SubmissionSpec spec, TaskName task) {
    if (done.containsKey(task)) {
      return true;
    }
    if (!spec.steps().get(task.step()).flags().gang()) {
      return false;
    }
    // One end of a gang stands for all members.
    for (TaskName other : done.keySet()) {
      if (other.submission().equals(task.submission())
          && other.occurrence() == task.occurrence()
          && other.step() == task.step()) {
        return true;
      }
    }
    return false;
  }

  private static boolean lasts(SubmissionSpec spec, TaskName task) {
    return spec.steps().get(task.step()).flags().persistent();
  }

  private void checkBudget(SubmissionSpec spec, ObservedRun run) {
    if (lasts(spec, run.key().task())) {
      return;
    }
    TaskName counted = counted(spec, run.key().task());
    if (failedNoted.getOrDefault(counted, Set.of()).size() >= spec.queue().maxAttempts()) {
      breach("start after the last attempt", run.key());
    }
  }

  /** The members of a gang share their attempts. */
  private static TaskName counted(SubmissionSpec spec, TaskName task) {
    boolean gang = spec != null && spec.steps().get(task.step()).flags().gang();
    return gang ? new TaskName(task.submission(), task.occurrence(), task.step(), 0) : task;
  }

  private void checkRoom(SubmissionSpec spec, ObservedRun run) {
    long size = size(spec, run);
    long used = usedByCustomer.merge(spec.customer(), size, Long::sum);
    Resources limit = limits.get(spec.customer());
    if (limit != null
        && used > limit.milliProcessors() * LIMIT_NUMERATOR / LIMIT_DENOMINATOR + size) {
      breach("customer " + spec.customer() + " has " + used + " running", run.key());
    }
    long sum = usedOnWorker.merge(run.worker(), size, Long::sum);
    Resources capacity = capacities.get(run.worker());
    if (capacity != null && sum > capacity.milliProcessors()) {
      breach("worker " + run.worker() + " has " + sum + " running", run.key());
    }
  }

  private static long size(SubmissionSpec spec, ObservedRun run) {
    StepSpec step = spec.steps().get(run.key().task().step());
    return step.taskResources().milliProcessors();
  }

  /**
   * A run has ended at its worker.
   *
   * @param run the run
   * @param how how it ended
   */
  public synchronized void recordEnd(ObservedRun run, RunEnd how) {
    TaskName task = run.key().task();
    running.getOrDefault(task, new HashSet<>()).remove(run);
    SubmissionSpec spec = recordSubmitted.get(task.submission());
    if (spec != null) {
      if (lasts(spec, task)) {
        lasting.recordEnd(task, clock.getAsLong());
      }
      usedByCustomer.merge(spec.customer(), -size(spec, run), Long::sum);
      usedOnWorker.merge(run.worker(), -size(spec, run), Long::sum);
    }
    if (how == RunEnd.DONE) {
      done.computeIfAbsent(task, key -> new ArrayList<>()).add(new DoneEnd(run));
    } else if (how == RunEnd.FAILED) {
      failedSeen
          .computeIfAbsent(counted(spec, task), key -> new HashSet<>())
          .add(run.key().number());
    }
  }

  /**
   * A worker was told that it may forget an end.
   *
   * @param run the run
   * @param how how it ended
   */
  public synchronized void recordEndAcknowledged(ObservedRun run, RunEnd how) {
    if (how == RunEnd.FAILED) {
      SubmissionSpec spec = recordSubmitted.get(run.key().task().submission());
      failedNoted
          .computeIfAbsent(counted(spec, run.key().task()), key -> new HashSet<>())
          .add(run.key().number());
    }
    for (DoneEnd end : done.getOrDefault(run.key().task(), List.of())) {
      if (end.run.equals(run) && !end.lapsed) {
        end.noted = true;
        if (end.startedAfter) {
          breach("an end was acknowledged after the task had started again", run.key());
        }
      }
    }
  }

  /**
   * A worker's lease lapsed: ends from before stand, but no longer count against a new start.
   *
   * @param worker the worker's id
   */
  public synchronized void recordLeaseExpired(String worker) {
    for (List<DoneEnd> ends : done.values()) {
      for (DoneEnd end : ends) {
        if (end.run.worker().equals(worker) && !end.noted) {
          end.lapsed = true;
        }
      }
    }
  }

  /**
   * A caller was shown a state.
   *
   * @param id the submission's id
   * @param state the state
   */
  public synchronized void checkShownState(String id, SubmissionState state) {
    SubmissionSpec spec = recordSubmitted.get(id);
    if (state == SubmissionState.FAILED && !attemptsUsed(spec)) {
      violations.add(clock.getAsLong() + ": " + id + " is shown as failed before its last attempt");
    }
    if (state != SubmissionState.COMPLETED) {
      return;
    }
    for (int occurrence = 0; occurrence < spec.occurrenceCount(); occurrence++) {
      for (int step = 0; step < spec.steps().size(); step++) {
        if (!allDone(spec, occurrence, step)) {
          violations.add(clock.getAsLong() + ": " + id + " is shown as completed too early");
          return;
        }
      }
    }
  }

  private boolean attemptsUsed(SubmissionSpec spec) {
    return failedSeen.entrySet().stream()
        .anyMatch(
            entry ->
                entry.getKey().submission().equals(spec.id())
                    && !lasts(spec, entry.getKey())
                    && entry.getValue().size() >= spec.queue().maxAttempts());
  }

  /**
   * An accepted submission has not come to an end though all was calm.
   *
   * @param id its id
   * @param state what callers are told of it
   */
  public synchronized void recordUnfinished(String id, String state) {
    violations.add(clock.getAsLong() + ": " + id + " was accepted and is " + state);
  }

  /**
   * Returns what was broken so far.
   *
   * @return one line a breach, with its time
   */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /**
   * Returns how many runs were begun.
   *
   * @return their number
   */
  public synchronized int startCount() {
    return startCount;
  }

  private void breach(String what, RunKey run) {
    violations.add(clock.getAsLong() + ": " + what + ": " + run);
  }

  /** One end of a task that was done. */
  private static final class DoneEnd {

    private final ObservedRun run;
    private boolean noted;
    private boolean lapsed;
    private boolean startedAfter;

    DoneEnd(ObservedRun run) {
      this.run = run;
    }
  }
}
