package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;

/**
 * Runs eight workers of 16 cores at 1.2 times their capacity, with short checks of two tasks, gangs
 * of five wide tasks, and batches. The estimates of the checks are wrong by up to nine tenths. The
 * test bounds the duration of the checks and the number of gangs that complete.
 */
class CellLoadTest {

  private static final long DURATION_MILLIS = 60_000;
  private static final int TICK_MILLIS = 10;
  private static final QueueTerms CHECKS = queue("checks", 0, 1.5, 250);
  private static final QueueTerms GANGS = queue("gangs", 1, 2.2, 1_000);
  private static final QueueTerms BATCHES = queue("batches", 2, 4, 3_000);

  private final CellFixture fixture = new CellFixture(1);
  private final Random random = new Random(7);
  private final Map<Submission, Long> submittedAt = new HashMap<>();
  private final List<Long> checkMillis = new ArrayList<>();
  private final PriorityQueue<ScheduledEnd> scheduledEnds =
      new PriorityQueue<>((one, other) -> Long.compare(one.at, other.at));
  private final Map<String, List<EndedRun>> ends = new HashMap<>();
  private final Map<String, Long> endNumbers = new HashMap<>();
  private int submissionCount;
  private int gangCount;
  private int completedGangs;

  /** A run and the time at which it ends. */
  private record ScheduledEnd(long at, Run run) {}

  private static QueueTerms queue(String name, int priority, double stretch, long objective) {
    return new QueueTerms(name, "service", priority, 3, stretch, objective, Optional.empty());
  }

  @Test
  void checksStayShortAndGangsStillRunUnderOverload() {
    for (int index = 0; index < 8; index++) {
      fixture.addWorker("w" + index);
    }
    long end = fixture.now + DURATION_MILLIS;
    while (fixture.now < end) {
      submitRandomWork();
      runWorkers();
      fixture.advance(TICK_MILLIS);
    }
    Collections.sort(checkMillis);
    long p50 = checkMillis.get(checkMillis.size() / 2);
    long p95 = checkMillis.get(checkMillis.size() * 95 / 100);
    System.out.println(
        "load: "
            + checkMillis.size()
            + " checks, p50 "
            + p50
            + " ms, p95 "
            + p95
            + " ms; "
            + completedGangs
            + " of "
            + gangCount
            + " gangs done");
    assertThat(p50).isLessThan(750);
    assertThat(p95).isLessThan(1_300);
    assertThat(completedGangs).isGreaterThan(gangCount / 3);
  }

  private void submitRandomWork() {
    double seconds = TICK_MILLIS / 1_000.0;
    if (random.nextDouble() < 8 * seconds) {
      long estimate = 64 + random.nextInt(1_100);
      submit(CHECKS, 2, 1_400, estimate, false);
    }
    if (random.nextDouble() < 0.5 * seconds) {
      gangCount++;
      submit(GANGS, 5, 4_500, 6_200, true);
    }
    if (random.nextDouble() < 1.5 * seconds) {
      submit(BATCHES, 10, 980, 3_400, false);
    }
  }

  private void submit(QueueTerms queue, int count, long processors, long estimate, boolean gang) {
    StepSpec step =
        new StepSpec(
            count,
            new Resources(processors, 1_000, 0),
            estimate,
            List.of(),
            new StepFlags(gang, false, false, false, false, false),
            "",
            "",
            0,
            "",
            0,
            0);
    SubmissionSpec spec =
        new SubmissionSpec(
            "%016x".formatted(submissionCount++),
            "customer",
            queue,
            "text",
            List.of(step),
            0,
            0,
            0,
            0);
    Submission submission = fixture.cell.accept(spec, fixture.now);
    submittedAt.put(submission, fixture.now);
  }

  private void runWorkers() {
    for (WorkerView worker : fixture.cell.workers()) {
      ends.put(worker.id(), new ArrayList<>());
    }
    while (!scheduledEnds.isEmpty() && scheduledEnds.peek().at <= fixture.now) {
      Run run = scheduledEnds.remove().run;
      String worker = run.worker().id();
      long number = endNumbers.merge(worker, 1L, Long::sum);
      ends.get(worker).add(new EndedRun(number, run.key(), RunEnd.DONE, ""));
    }
    for (WorkerView worker : fixture.cell.workers()) {
      List<RunningTask> running = new ArrayList<>();
      worker.runs.values().stream()
          .filter(run -> ends.get(worker.id()).stream().noneMatch(next -> next.run() == run.key()))
          .forEach(run -> running.add(new RunningTask(run.key(), "", percent(run))));
      fixture.cell.renewalAnswered(
          worker,
          new RenewalReport(1, fixture.now, running, ends.get(worker.id())),
          fixture.now,
          fixture.now);
    }
    fixture.writePending();
    if (fixture.now % 100 < TICK_MILLIS) {
      fixture.cell.tick(fixture.now, fixture.now);
      fixture.writePending();
    }
    fixture.pass();
    for (CellFixture.StartedRun started : fixture.starts) {
      fixture.cell.startAnswered(started.run(), StartAnswer.of(StartOutcome.STARTED), fixture.now);
      scheduledEnds.add(new ScheduledEnd(fixture.now + workMillis(started.run()), started.run()));
    }
    fixture.starts.clear();
    recordCompletions();
  }

  private int percent(Run run) {
    long work = workMillis(run);
    return (int) Math.min(99, 100 * (fixture.now - run.confirmedAt) / work);
  }

  private static long workMillis(Run run) {
    String queue = run.submission().spec().queue().name();
    return queue.equals("checks") ? 640 : queue.equals("gangs") ? 6_200 : 3_400;
  }

  private void recordCompletions() {
    submittedAt
        .entrySet()
        .removeIf(
            entry -> {
              boolean done = entry.getKey().visibleState() == SubmissionState.COMPLETED;
              String queue = entry.getKey().spec().queue().name();
              if (done && queue.equals("checks")) {
                checkMillis.add(fixture.now - entry.getValue());
              } else if (done && queue.equals("gangs")) {
                completedGangs++;
              }
              return done;
            });
  }
}
