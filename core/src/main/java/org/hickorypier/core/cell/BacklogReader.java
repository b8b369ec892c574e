package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.admission.Backlog;
import org.hickorypier.core.admission.Place;
import org.hickorypier.core.admission.WorkGroup;
import org.hickorypier.core.admission.WorkUnit;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepSpec;

/**
 * Reads the backlog of a cell for {@link org.hickorypier.core.admission.AdmissionPolicy}. The tasks
 * of like steps are summed, so that a decision does not depend on the number of open submissions.
 *
 * <p>Confined to the control thread.
 */
final class BacklogReader {

  /** Age up to which a backlog is reused; reading thousands of steps takes some milliseconds. */
  private static final long MAX_AGE_MILLIS = 100;

  /**
   * Number of periods of an objective; steps whose deadlines are in the same period count as due at
   * its end. A queue then has few groups, and nearly all earlier work counts.
   */
  private static final int DEADLINE_PERIODS = 16;

  /** Workers report what they run within this time after a takeover. */
  private static final long TAKEOVER_GRACE_MILLIS = 3_000;

  /** Part of a caller's estimate that counts while no run of the queue has completed. */
  private static final double UNKNOWN_QUEUE_PART = 0.1;

  /** Sizes in one class differ by less than a quarter, and a service has few of them. */
  private static final int SIZE_CLASS_BITS = 3;

  private final CellState cell;
  private Backlog latest;

  BacklogReader(CellState cell) {
    this.cell = cell;
  }

  /** Returns the backlog at most 100 ms ago. */
  Backlog read(long now) {
    if (latest == null || now - latest.atMillis() > MAX_AGE_MILLIS) {
      latest = readNow(now);
    }
    return latest;
  }

  /** Returns whether run times of a queue are known. */
  boolean isKnown(String queue) {
    return cell.durationEstimator.isKnown(queue);
  }

  /**
   * Returns the expected run time of a task, in milliseconds, at least 1: the learned one, or the
   * least that the caller's estimate may mean.
   */
  long taskMillis(String queue, long estimateMillis) {
    // With an estimate of zero the estimator returns the mean of the queue.
    double millis =
        isKnown(queue)
            ? cell.durationEstimator.expectedMillis(queue, 0)
            : UNKNOWN_QUEUE_PART * estimateMillis;
    return Math.max(1, Math.round(millis));
  }

  static WorkUnit unit(StepSpec step) {
    return new WorkUnit(step.flags().gang() ? step.count() : 1, step.reservedResources());
  }

  private Backlog readNow(long now) {
    Map<Backlog.Pool, Resources> capacities = new HashMap<>();
    Map<GroupKey, Sums> sums = new HashMap<>();
    for (WorkerView worker : cell.workers.values()) {
      if (isUsable(worker, now)) {
        addCapacity(capacities, worker.entry());
        worker.runs.values().forEach(run -> addRunning(sums, run, now));
      }
    }
    for (StepRun step : cell.readySteps) {
      addWaiting(sums, step, now);
    }
    List<WorkGroup> groups = new ArrayList<>();
    sums.forEach((key, sum) -> groups.add(sum.toGroup(key, capacityPart(key.queue, sum.steps))));
    boolean complete = cell.usage.isConfigured() && now - cell.takenOverAt >= TAKEOVER_GRACE_MILLIS;
    return new Backlog(now, complete, capacities, cell.usage.upperLimits(), groups);
  }

  /** Returns the part of the capacity that the advisor is expected to allow for some steps. */
  private double capacityPart(QueueTerms queue, int steps) {
    return queue.advice().isEmpty()
        ? 1
        : Math.min(1, steps * cell.suitabilityEstimator.share(queue.name()));
  }

  /** Returns whether a worker can take work, now or soon. */
  private static boolean isUsable(WorkerView worker, long now) {
    return worker.listed
        && worker.hasAnswered
        && !worker.evacuated
        && !worker.entry().draining()
        && !worker.isSilentForLong(now);
  }

  private static void addCapacity(Map<Backlog.Pool, Resources> capacities, WorkerEntry worker) {
    capacities.merge(new Backlog.Pool(worker.service(), ""), worker.capacity(), Resources::plus);
    for (String label : worker.labels()) {
      if (!label.isEmpty()) {
        capacities.merge(
            new Backlog.Pool(worker.service(), label), worker.capacity(), Resources::plus);
      }
    }
  }

  private void addRunning(Map<GroupKey, Sums> sums, Run run, long now) {
    if (run.task == null || run.stopping || run.task.step.isPersistent()) {
      return;
    }
    StepRun step = run.task.step;
    long runMillis = taskMillis(step.submission.spec().queue().name(), step.spec.estimateMillis());
    long elapsed = run.isConfirmed() ? now - run.confirmedAt : 0;
    add(sums, step, true, Math.max(0, runMillis - elapsed), 1, runMillis, now);
  }

  private void addWaiting(Map<GroupKey, Sums> sums, StepRun step, long now) {
    int waiting = step.waitingCount();
    if (waiting == 0 || !step.submission.isLive() || step.isPersistent()) {
      return;
    }
    long runMillis = taskMillis(step.submission.spec().queue().name(), step.spec.estimateMillis());
    // A task that resumes has less left to do; how much is not known.
    int counted = 0;
    for (Task task : step.tasks) {
      counted += task.isWaiting() && task.checkpoint.isEmpty() ? 1 : 0;
    }
    add(sums, step, false, runMillis, counted, runMillis, now);
  }

  private void add(
      Map<GroupKey, Sums> sums,
      StepRun step,
      boolean running,
      long leftMillis,
      int tasks,
      long runMillis,
      long now) {
    Submission submission = step.submission;
    Place place = UrgencyOrder.place(step, cell.durationEstimator, now);
    long objective = submission.objectiveMillis(cell.durationEstimator);
    Place group = groupPlace(place, Math.max(1, objective / DEADLINE_PERIODS));
    long useful = submission.acceptedAt + UrgencyOrder.USEFUL_OBJECTIVE_FACTOR * objective;
    Resources size = step.spec.reservedResources();
    WorkUnit unit = unit(step.spec);
    GroupKey key =
        new GroupKey(
            submission.spec().queue(),
            submission.spec().customer(),
            step.spec.requires(),
            running,
            group,
            sizeClass(unit.count()),
            sizeClass(size.milliProcessors()),
            sizeClass(size.memoryMebibytes()));
    sums.computeIfAbsent(key, name -> new Sums())
        .add(unit, useful, runMillis, size, (double) leftMillis * tasks);
  }

  /** Returns a class of like sizes: those that share their highest three bits. */
  private static long sizeClass(long size) {
    int dropped = Math.max(0, Long.SIZE - Long.numberOfLeadingZeros(size) - SIZE_CLASS_BITS);
    return size >> dropped << dropped;
  }

  /** Returns a place that is not before the given one; late steps share one. */
  private static Place groupPlace(Place place, long periodMillis) {
    long deadline =
        place.late()
            ? Long.MAX_VALUE
            : (Math.floorDiv(place.deadlineMillis(), periodMillis) + 1) * periodMillis;
    return new Place(place.band(), place.priority(), place.late(), deadline);
  }

  /** What the steps of one group have in common. */
  private record GroupKey(
      QueueTerms queue,
      String customer,
      String requires,
      boolean running,
      Place place,
      long countClass,
      long processorClass,
      long memoryClass) {}

  /** Sums over the steps of a group. */
  private static final class Sums {
    private int steps;
    private int count;
    private Resources largest = Resources.NONE;
    private long usefulUntil = Long.MIN_VALUE;
    private long runMillis;
    private double coreMillis;
    private double memoryMillis;

    void add(WorkUnit unit, long useful, long millis, Resources size, double taskMillis) {
      steps++;
      count = Math.max(count, unit.count());
      largest = largest.max(unit.taskSize());
      usefulUntil = Math.max(usefulUntil, useful);
      runMillis = Math.max(runMillis, millis);
      coreMillis += size.milliProcessors() * taskMillis;
      memoryMillis += size.memoryMebibytes() * taskMillis;
    }

    WorkGroup toGroup(GroupKey key, double capacityPart) {
      return new WorkGroup(
          key.queue.service(),
          key.customer,
          key.requires,
          key.place,
          key.running,
          new WorkUnit(count, largest),
          usefulUntil,
          capacityPart,
          runMillis,
          coreMillis,
          memoryMillis);
    }
  }
}
