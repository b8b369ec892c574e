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

  /** Sizes in one class differ by less than a quarter, and a service has few of them. */
  private static final int SIZE_CLASS_BITS = 3;

  private final CellState cell;
  private final LearnedRunTimes runTimes;
  private Backlog latest;

  BacklogReader(CellState cell, LearnedRunTimes runTimes) {
    this.cell = cell;
    this.runTimes = runTimes;
  }

  /** Returns the backlog at most 100 ms ago. */
  Backlog read(long now) {
    if (latest == null || now - latest.atMillis() > MAX_AGE_MILLIS) {
      latest = readNow(now);
    }
    return latest;
  }

  static WorkUnit unit(StepSpec step) {
    return new WorkUnit(step.flags().gang() ? step.count() : 1, step.reservedResources());
  }

  private Backlog readNow(long now) {
    Map<Backlog.Pool, Resources> capacities = new HashMap<>();
    Map<GroupKey, Sums> sums = new HashMap<>();
    for (WorkerView worker : cell.workers.values()) {
      if (isUsable(worker, now)) {
        addCapacity(capacities, worker);
        worker.runs.values().forEach(run -> addRunning(sums, run, now));
      }
    }
    for (StepRun step : cell.readySteps) {
      addWaiting(sums, step, now);
    }
    List<WorkGroup> groups = new ArrayList<>();
    sums.forEach((key, sum) -> groups.add(sum.toGroup(key, capacityPart(key, sum.steps))));
    boolean complete = cell.usage.isConfigured() && now - cell.takenOverAt >= TAKEOVER_GRACE_MILLIS;
    return new Backlog(now, complete, capacities, cell.usage.upperLimits(), groups);
  }

  /** Returns the part of the capacity that the advisor is expected to allow for some steps. */
  private double capacityPart(GroupKey key, int steps) {
    return key.advised ? Math.min(1, steps * cell.suitabilityEstimator.share(key.queue)) : 1;
  }

  /**
   * Returns whether a worker can take work, now or soon. One that has not answered this owner yet
   * counts, or the estimates after a takeover would be too long.
   */
  private static boolean isUsable(WorkerView worker, long now) {
    return worker.listed
        && !worker.evacuated
        && !worker.entry().draining()
        && !worker.isSilentForLong(now);
  }

  private static void addCapacity(Map<Backlog.Pool, Resources> capacities, WorkerView worker) {
    String service = worker.entry().service();
    Resources capacity = worker.incarnation().capacity();
    capacities.merge(new Backlog.Pool(service, ""), capacity, Resources::plus);
    for (String label : worker.incarnation().labels()) {
      if (!label.isEmpty()) {
        capacities.merge(new Backlog.Pool(service, label), capacity, Resources::plus);
      }
    }
  }

  private void addRunning(Map<GroupKey, Sums> sums, Run run, long now) {
    if (run.task == null || run.stopping || run.task.step.isPersistent()) {
      return;
    }
    StepRun step = run.task.step;
    long runMillis =
        runTimes.taskMillis(step.submission.spec().queue().name(), step.spec.estimateMillis());
    long elapsed = run.isConfirmed() ? now - run.confirmedAt : 0;
    add(sums, step, true, Math.max(0, runMillis - elapsed), 1, runMillis, now);
  }

  private void addWaiting(Map<GroupKey, Sums> sums, StepRun step, long now) {
    int waiting = step.waitingCount();
    if (waiting == 0 || !step.submission.isLive() || step.isPersistent()) {
      return;
    }
    long runMillis =
        runTimes.taskMillis(step.submission.spec().queue().name(), step.spec.estimateMillis());
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
    QueueTerms queue = submission.spec().queue();
    Place place = runTimes.place(step, now);
    long objective = runTimes.objectiveMillis(submission);
    Place group = groupPlace(place, Math.max(1, objective / DEADLINE_PERIODS));
    long useful = submission.acceptedAt + UrgencyOrder.USEFUL_OBJECTIVE_FACTOR * objective;
    Resources size = step.spec.reservedResources();
    WorkUnit unit = unit(step.spec);
    GroupKey key =
        new GroupKey(
            queue.service(),
            queue.name(),
            queue.advice().isPresent(),
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
      String service,
      String queue,
      boolean advised,
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
          key.service,
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
