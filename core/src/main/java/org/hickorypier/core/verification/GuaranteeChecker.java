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
 * Checks the scheduler's guarantees, based on what workers and callers observe and never on an
 * owner's state.
 *
 * <p>Thread-safe: when real processes are checked, observations arrive on several threads.
 */
public final class GuaranteeChecker {

  /** No task of a cancelled submission starts later than this after the acknowledgement. */
  private static final long CANCEL_GRACE_MILLIS = 3_000;

  /** The running work of a customer may exceed its limit by a tenth and one task. */
  private static final int LIMIT_NUMERATOR = 11;

  private static final int LIMIT_DENOMINATOR = 10;

  private final LongSupplier clock;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, SubmissionSpec> submissions = new HashMap<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();
  private final Set<String> rejected = new HashSet<>();
  private final Set<String> startedSubmissions = new HashSet<>();
  private final Map<TaskName, Set<ObservedRun>> running = new HashMap<>();
  private final Map<TaskName, List<DoneEnd>> done = new HashMap<>();
  private final Map<TaskName, Set<Integer>> observedFailures = new HashMap<>();
  private final Map<TaskName, Set<Integer>> acknowledgedFailures = new HashMap<>();
  private final Map<String, Long> usedByCustomer = new HashMap<>();
  private final Map<String, Long> usedOnWorker = new HashMap<>();
  private final Map<String, Resources> customerLimits = new HashMap<>();
  private final Map<String, CapacityHistory> workerCapacities = new HashMap<>();
  private final EvacuationHistory evacuations = new EvacuationHistory();
  private final CrashBudget crashBudget = new CrashBudget();
  private final PersistentTaskMonitor persistentTasks = new PersistentTaskMonitor();
  private int startCount;

  /**
   * Creates a checker without observations.
   *
   * @param clock the source of the time in milliseconds
   */
  public GuaranteeChecker(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Sets the limit on the running work of a customer.
   *
   * @param customer the customer
   * @param limit the limit
   */
  public synchronized void setLimit(String customer, Resources limit) {
    customerLimits.put(customer, limit);
  }

  /**
   * Sets the capacity of a worker, which may change while it runs.
   *
   * @param worker the worker's id
   * @param capacity its capacity
   */
  public synchronized void setCapacity(String worker, Resources capacity) {
    workerCapacities
        .computeIfAbsent(worker, id -> new CapacityHistory())
        .record(capacity, clock.getAsLong());
  }

  /**
   * Sets the data centre of a worker.
   *
   * @param worker the worker's id
   * @param dataCentre its data centre
   */
  public synchronized void setDataCentre(String worker, String dataCentre) {
    evacuations.setDataCentre(worker, dataCentre);
  }

  /**
   * Records that the request to evacuate a data centre was stored.
   *
   * @param dataCentre the data centre
   */
  public synchronized void recordEvacuationRequest(String dataCentre) {
    evacuations.recordRequest(dataCentre, clock.getAsLong());
  }

  /**
   * Records that the request to evacuate a data centre was withdrawn.
   *
   * @param dataCentre the data centre
   */
  public synchronized void recordEvacuationWithdrawal(String dataCentre) {
    evacuations.recordWithdrawal(dataCentre);
  }

  /**
   * Declares that a task crashes the workers that start it.
   *
   * @param task the task
   */
  public synchronized void declareCrashing(TaskName task) {
    crashBudget.declareCrashing(task);
  }

  /**
   * Records that a worker has crashed, before the ends of its runs are recorded.
   *
   * @param tasks the tasks that ran there
   */
  public synchronized void recordWorkerCrash(Collection<TaskName> tasks) {
    crashBudget.recordWorkerCrash(tasks);
  }

  /**
   * Records that a caller begins to submit a submission.
   *
   * @param spec the submission
   */
  public synchronized void recordSubmitted(SubmissionSpec spec) {
    submissions.put(spec.id(), spec);
  }

  /**
   * Records that all of a caller's attempts to submit were refused, so the submission must never
   * run.
   *
   * @param id its id
   */
  public synchronized void recordRejected(String id) {
    rejected.add(id);
    if (startedSubmissions.contains(id)) {
      violations.add(clock.getAsLong() + ": " + id + " was refused but has run");
    }
  }

  /**
   * Records that the acceptance of a submission was acknowledged to a caller.
   *
   * @param id its id
   */
  public synchronized void recordAccepted(String id) {
    persistentTasks.recordAccepted(submissions.get(id), clock.getAsLong());
  }

  /**
   * Records that a caller requested a cancellation, which may or may not have taken effect.
   *
   * @param id its id
   */
  public synchronized void recordCancelRequested(String id) {
    persistentTasks.recordCancelRequested(id);
  }

  /** Records an unplanned disruption. */
  public synchronized void recordDisruption() {
    persistentTasks.recordDisruption(clock.getAsLong());
  }

  /**
   * Checks that persistent tasks are restarted in time. The caller invokes this several times a
   * second.
   *
   * @param available the workers that may accept work
   */
  public synchronized void checkPersistentTasks(Collection<String> available) {
    long now = clock.getAsLong();
    for (TaskName task :
        persistentTasks.findOverdue(
            name -> !crashBudget.mayGiveUp(name) && hasCapacityForTwo(name, available), now)) {
      violations.add(
          now
              + ": no run for "
              + persistentTasks.idleMillis(task, now)
              + " ms despite free capacity: "
              + task);
    }
  }

  /** Checks at the end of a run that all persistent tasks are running. */
  public synchronized void checkPersistentTasksRunning() {
    for (TaskName task : persistentTasks.idleTasks()) {
      if (crashBudget.mayGiveUp(task)) {
        continue;
      }
      violations.add(clock.getAsLong() + ": not running at the end: " + task);
    }
  }

  private boolean hasCapacityForTwo(TaskName task, Collection<String> available) {
    SubmissionSpec spec = submissions.get(task.submission());
    long size = spec.steps().get(task.step()).taskResources().milliProcessors();
    Resources limit = customerLimits.get(spec.customer());
    if (limit != null
        && 2 * usedByCustomer.getOrDefault(spec.customer(), 0L) >= limit.milliProcessors()) {
      return false;
    }
    long taskCount = 0;
    for (String worker : available) {
      long used = usedOnWorker.getOrDefault(worker, 0L);
      taskCount += (workerCapacities.get(worker).now().milliProcessors() - used) / size;
    }
    return taskCount >= 2;
  }

  /**
   * Records that the cancellation of a submission was acknowledged to a caller.
   *
   * @param id its id
   */
  public synchronized void recordCancelAcknowledged(String id) {
    cancelledAt.putIfAbsent(id, clock.getAsLong());
  }

  /**
   * Records that a worker started a run, and checks all guarantees about starts.
   *
   * @param run the run
   */
  public synchronized void recordStart(ObservedRun run) {
    startCount++;
    TaskName task = run.key().task();
    SubmissionSpec spec = submissions.get(task.submission());
    if (spec == null) {
      addViolation("start of an unknown submission", run.key());
      return;
    }
    startedSubmissions.add(spec.id());
    if (rejected.contains(spec.id())) {
      addViolation("start of a refused submission", run.key());
    }
    Set<ObservedRun> others = running.computeIfAbsent(task, key -> new HashSet<>());
    if (!others.isEmpty()) {
      addViolation(
          "two runs at once, the other on " + others.iterator().next().worker(), run.key());
    }
    others.add(run);
    if (!crashBudget.recordStart(task)) {
      addViolation("one more start of a task that crashes its workers", run.key());
    }
    if (isPersistent(spec, task)) {
      persistentTasks.recordStart(task);
    }
    for (DoneEnd end : done.getOrDefault(task, List.of())) {
      if (end.acknowledged) {
        addViolation("start after an acknowledged end", run.key());
      }
      end.startedAfter = true;
    }
    checkOrder(spec, run);
    checkAttempts(spec, run);
    checkLimitAndCapacity(spec, run);
    evacuations
        .violatedBy(run.worker(), clock.getAsLong())
        .ifPresent(name -> addViolation("start in the evacuated data centre " + name, run.key()));
    Long cancelled = cancelledAt.get(task.submission());
    if (cancelled != null && clock.getAsLong() > cancelled + CANCEL_GRACE_MILLIS) {
      addViolation("start after the cancellation", run.key());
    }
  }

  private void checkOrder(SubmissionSpec spec, ObservedRun run) {
    TaskName task = run.key().task();
    for (int earlier : spec.steps().get(task.step()).dependsOn()) {
      if (!allDone(spec, task.occurrence(), earlier)) {
        addViolation("start before step " + earlier + " was done", run.key());
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
    // The end of one member of a gang counts for all members.
    for (TaskName other : done.keySet()) {
      if (other.submission().equals(task.submission())
          && other.occurrence() == task.occurrence()
          && other.step() == task.step()) {
        return true;
      }
    }
    return false;
  }

  private static boolean isPersistent(SubmissionSpec spec, TaskName task) {
    return spec.steps().get(task.step()).flags().persistent();
  }

  private void checkAttempts(SubmissionSpec spec, ObservedRun run) {
    if (isPersistent(spec, run.key().task())) {
      return;
    }
    TaskName countedTask = countedTask(spec, run.key().task());
    if (acknowledgedFailures.getOrDefault(countedTask, Set.of()).size()
        >= spec.queue().maxAttempts()) {
      addViolation("start after the last attempt", run.key());
    }
  }

  /** The members of a gang share their attempts. */
  private static TaskName countedTask(SubmissionSpec spec, TaskName task) {
    boolean gang = spec != null && spec.steps().get(task.step()).flags().gang();
    return gang ? new TaskName(task.submission(), task.occurrence(), task.step(), 0) : task;
  }

  private void checkLimitAndCapacity(SubmissionSpec spec, ObservedRun run) {
    long size = size(spec, run);
    long used = usedByCustomer.merge(spec.customer(), size, Long::sum);
    Resources limit = customerLimits.get(spec.customer());
    if (limit != null
        && used > limit.milliProcessors() * LIMIT_NUMERATOR / LIMIT_DENOMINATOR + size) {
      addViolation("customer " + spec.customer() + " has " + used + " running", run.key());
    }
    long sum = usedOnWorker.merge(run.worker(), size, Long::sum);
    CapacityHistory capacity = workerCapacities.get(run.worker());
    if (capacity != null && sum > capacity.mostAllowed(clock.getAsLong())) {
      addViolation("worker " + run.worker() + " has " + sum + " running", run.key());
    }
  }

  private static long size(SubmissionSpec spec, ObservedRun run) {
    StepSpec step = spec.steps().get(run.key().task().step());
    return step.taskResources().milliProcessors();
  }

  /**
   * Records that a run ended at its worker.
   *
   * @param run the run
   * @param outcome how the run ended
   */
  public synchronized void recordEnd(ObservedRun run, RunEnd outcome) {
    TaskName task = run.key().task();
    running.getOrDefault(task, new HashSet<>()).remove(run);
    SubmissionSpec spec = submissions.get(task.submission());
    if (spec != null) {
      if (isPersistent(spec, task)) {
        persistentTasks.recordEnd(task, clock.getAsLong());
      }
      usedByCustomer.merge(spec.customer(), -size(spec, run), Long::sum);
      usedOnWorker.merge(run.worker(), -size(spec, run), Long::sum);
    }
    if (outcome == RunEnd.DONE) {
      done.computeIfAbsent(task, key -> new ArrayList<>()).add(new DoneEnd(run));
    } else if (outcome == RunEnd.FAILED) {
      observedFailures
          .computeIfAbsent(countedTask(spec, task), key -> new HashSet<>())
          .add(run.key().number());
    }
  }

  /**
   * Records that the end of a run was acknowledged to its worker, which may then discard it.
   *
   * @param run the run
   * @param outcome how the run ended
   */
  public synchronized void recordEndAcknowledged(ObservedRun run, RunEnd outcome) {
    if (outcome == RunEnd.FAILED) {
      SubmissionSpec spec = submissions.get(run.key().task().submission());
      acknowledgedFailures
          .computeIfAbsent(countedTask(spec, run.key().task()), key -> new HashSet<>())
          .add(run.key().number());
    }
    for (DoneEnd end : done.getOrDefault(run.key().task(), List.of())) {
      if (end.run.equals(run) && !end.leaseExpired) {
        end.acknowledged = true;
        if (end.startedAfter) {
          addViolation("an end was acknowledged after the task had started again", run.key());
        }
      }
    }
  }

  /**
   * Records that a worker's lease expired: its unacknowledged ends remain valid, but a new start of
   * the same task is no longer a violation.
   *
   * @param worker the worker's id
   */
  public synchronized void recordLeaseExpired(String worker) {
    for (List<DoneEnd> ends : done.values()) {
      for (DoneEnd end : ends) {
        if (end.run.worker().equals(worker) && !end.acknowledged) {
          end.leaseExpired = true;
        }
      }
    }
  }

  /**
   * Records the state that was shown to a caller, and checks it.
   *
   * @param id the submission's id
   * @param state the state
   */
  public synchronized void checkShownState(String id, SubmissionState state) {
    SubmissionSpec spec = submissions.get(id);
    if (state == SubmissionState.FAILED && !attemptsUsed(spec) && !crashBudget.mayGiveUp(id)) {
      violations.add(clock.getAsLong() + ": " + id + " is shown as failed before its last attempt");
    }
    if (state == SubmissionState.FAILED && crashBudget.mayGiveUp(id)) {
      persistentTasks.recordCancelRequested(id);
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
    return observedFailures.entrySet().stream()
        .anyMatch(
            entry ->
                entry.getKey().submission().equals(spec.id())
                    && !isPersistent(spec, entry.getKey())
                    && entry.getValue().size() >= spec.queue().maxAttempts());
  }

  /**
   * Records that an accepted submission did not end although there was no disruption.
   *
   * @param id its id
   * @param state the state that is shown to callers
   */
  public synchronized void recordUnfinished(String id, String state) {
    violations.add(clock.getAsLong() + ": " + id + " was accepted and is " + state);
  }

  /**
   * Returns the violations found so far.
   *
   * @return one line for each violation, with its time
   */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /**
   * Returns the number of runs that were started.
   *
   * @return the number of starts
   */
  public synchronized int startCount() {
    return startCount;
  }

  private void addViolation(String description, RunKey run) {
    violations.add(clock.getAsLong() + ": " + description + ": " + run);
  }

  /** A run of a task that ended as done. */
  private static final class DoneEnd {

    private final ObservedRun run;
    private boolean acknowledged;
    private boolean leaseExpired;
    private boolean startedAfter;

    DoneEnd(ObservedRun run) {
      this.run = run;
    }
  }
}
