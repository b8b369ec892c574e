package org.hickorypier.measure.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.verification.ObservedRun;

/**
 * Checks from what workers see that a task that lasts runs again soon after its last run.
 *
 * <p>A task is owed a run while six seconds have passed since its last one, no unplanned
 * disturbance was on in the last four, and the workers that take work have room for it twice over.
 * Owed for three seconds on end, it is late.
 *
 * <p>Invariant: a late task is told once until it runs again. Thread safe.
 */
final class LastingTaskCheck {

  /** A task may wait for its worker's lease and for a change of owner. */
  static final long OWED_AFTER_MILLIS = 6_000;

  /** No unplanned disturbance may have been on for so long before a task is owed a run. */
  static final long CALM_MILLIS = 4_000;

  /** How long on end a task may be owed a run. */
  static final long LATE_MILLIS = 3_000;

  private static final int PLACES_WANTED = 2;

  private final LongSupplier clock;
  private final Map<String, SubmissionSpec> handedIn = new HashMap<>();
  private final Set<String> accepted = new TreeSet<>();
  private final Set<String> cancelled = new HashSet<>();
  private final Map<String, Resources> taking = new HashMap<>();
  private final Map<String, Set<ObservedRun>> runsOnWorker = new HashMap<>();
  private final Map<TaskName, Set<ObservedRun>> running = new HashMap<>();
  private final Map<TaskName, Gap> gaps = new TreeMap<>(LastingTaskCheck::order);
  private final List<String> broken = new ArrayList<>();
  private final List<String> record = new ArrayList<>();
  private long disturbedUntil = Long.MIN_VALUE / 2;
  private long longestGapMillis;
  private int gapsEnded;

  LastingTaskCheck(LongSupplier clock) {
    this.clock = clock;
  }

  /** A task that has run, and does not now. */
  private static final class Gap {

    private final long since;
    private final String worker;
    private Long owedSince;
    private boolean late;

    Gap(long since, String worker) {
      this.since = since;
      this.worker = worker;
    }
  }

  private static int order(TaskName one, TaskName other) {
    return one.toString().compareTo(other.toString());
  }

  /** A caller begins to hand a submission in, of whatever kind. */
  synchronized void handedIn(SubmissionSpec spec) {
    handedIn.put(spec.id(), spec);
  }

  /** A caller was told that a submission of which all tasks last is accepted. */
  synchronized void accepted(String id) {
    accepted.add(id);
  }

  /** A caller is about to cancel a submission: from now on it is owed nothing. */
  synchronized void cancelling(String id) {
    cancelled.add(id);
  }

  /** Tells whether the tasks of a submission last. */
  synchronized boolean lasts(String id) {
    SubmissionSpec spec = handedIn.get(id);
    return spec != null && spec.steps().get(0).flags().persistent();
  }

  /** A worker takes work from now on. */
  synchronized void takesWork(String worker, Resources capacity) {
    taking.put(worker, capacity);
    note(worker + " takes work");
  }

  /** A worker drains or is gone: it is no room any more. */
  synchronized void takesNoWork(String worker) {
    taking.remove(worker);
    note(worker + " takes no work");
  }

  /** An unplanned disturbance is on for some milliseconds. */
  synchronized void disturbed(long millis) {
    disturbedUntil = Math.max(disturbedUntil, clock.getAsLong() + millis);
  }

  synchronized void started(ObservedRun run) {
    if (!handedIn.containsKey(run.key().task().submission())) {
      return;
    }
    runsOnWorker.computeIfAbsent(run.worker(), id -> new HashSet<>()).add(run);
    TaskName task = run.key().task();
    if (lasts(task.submission())) {
      running.computeIfAbsent(task, name -> new HashSet<>()).add(run);
      Gap gap = gaps.remove(task);
      if (gap != null) {
        gapsEnded++;
        longestGapMillis = Math.max(longestGapMillis, clock.getAsLong() - gap.since);
      }
    }
  }

  synchronized void ended(ObservedRun run) {
    runsOnWorker.getOrDefault(run.worker(), new HashSet<>()).remove(run);
    TaskName task = run.key().task();
    Set<ObservedRun> left = running.getOrDefault(task, new HashSet<>());
    if (left.remove(run) && left.isEmpty()) {
      gaps.put(task, new Gap(clock.getAsLong(), run.worker()));
    }
  }

  /** Looks for late tasks; to be called several times a second. */
  synchronized void look() {
    long now = clock.getAsLong();
    gaps.forEach(
        (task, gap) -> {
          if (!owed(task, gap, now)) {
            gap.owedSince = null;
          } else if (gap.owedSince == null) {
            gap.owedSince = now;
          } else if (!gap.late && now - gap.owedSince > LATE_MILLIS) {
            gap.late = true;
            broken.add(late(task, gap, now));
          }
        });
  }

  private static String late(TaskName task, Gap gap, long now) {
    return now
        + ": a task that lasts has not run for "
        + (now - gap.since)
        + " ms with room, last on "
        + gap.worker
        + ": "
        + task;
  }

  private boolean owed(TaskName task, Gap gap, long now) {
    return live(task.submission())
        && now >= gap.since + OWED_AFTER_MILLIS
        && now >= disturbedUntil + CALM_MILLIS
        && places(spec(task).taskResources()) >= PLACES_WANTED;
  }

  private boolean live(String id) {
    return accepted.contains(id) && !cancelled.contains(id);
  }

  private StepSpec spec(TaskName task) {
    return handedIn.get(task.submission()).steps().get(task.step());
  }

  private long places(Resources each) {
    long places = 0;
    for (Map.Entry<String, Resources> worker : taking.entrySet()) {
      long processors = worker.getValue().milliProcessors();
      long memory = worker.getValue().memoryMebibytes();
      for (ObservedRun run : runsOnWorker.getOrDefault(worker.getKey(), Set.of())) {
        processors -= spec(run.key().task()).taskResources().milliProcessors();
        memory -= spec(run.key().task()).taskResources().memoryMebibytes();
      }
      places +=
          Math.max(
              0, Math.min(processors / each.milliProcessors(), memory / each.memoryMebibytes()));
    }
    return places;
  }

  /** Returns the tasks that do not run and should, and those of cancelled submissions that do. */
  synchronized Set<String> unsettled() {
    Set<String> unsettled = new TreeSet<>();
    for (String id : accepted) {
      List<StepSpec> steps = handedIn.get(id).steps();
      for (int index = 0; index < steps.get(0).count(); index++) {
        TaskName task = new TaskName(id, 0, 0, index);
        boolean runs = !running.getOrDefault(task, Set.of()).isEmpty();
        if (runs != live(id)) {
          unsettled.add(task + (runs ? " runs" : " does not run"));
        }
      }
    }
    return unsettled;
  }

  /** Returns one line for each late task, with the time. */
  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  /** Keeps a line for the report. */
  synchronized void note(String what) {
    record.add(clock.getAsLong() + ": " + what);
  }

  /** Returns what workers did, one line each, with the time. */
  synchronized List<String> record() {
    return List.copyOf(record);
  }

  /** Returns counts for the report. */
  synchronized String summary() {
    return accepted.size()
        + " that last, "
        + gapsEnded
        + " gaps, the longest "
        + longestGapMillis
        + " ms";
  }
}
