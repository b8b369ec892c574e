package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.AdviceTerms;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;

/**
 * Fills 30 workers of 64 cores with batches of small tasks, beside gangs of wide tasks that a third
 * of the workers suits. Guards against gangs that wait past their objective for room that less
 * urgent work holds, and against batches that never complete because they are stopped.
 */
class PreemptionLoadTest {

  private static final int TICK_MILLIS = 25;
  private static final long SUBMIT_MILLIS = 40_000;
  private static final long DRAIN_MILLIS = 120_000;
  private static final InterruptionCost COST = new InterruptionCost(200, 250, 500);
  private static final AdviceTerms ADVICE = new AdviceTerms(559, 8.06, 2_500);
  private static final QueueTerms GANGS =
      new QueueTerms("gangs", "service", 1, 2, 2.2, 1_000, Optional.of(ADVICE));
  private static final QueueTerms BATCHES =
      new QueueTerms("batches", "service", 2, 4, 4, 3_000, Optional.of(ADVICE));

  /** A run on a worker. */
  private static final class Present {
    private final Run run;
    private final long startedAt;
    private final long doneBefore;
    private long stopsAt = Long.MAX_VALUE;

    private Present(Run run, long startedAt, long doneBefore) {
      this.run = run;
      this.startedAt = startedAt;
      this.doneBefore = doneBefore;
    }
  }

  /** A request that the advisor answers at a time. */
  private record Call(long at, CellFixture.AdviceRequest request) {}

  private CellFixture fixture;
  private Random random;
  private final List<Present> present = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final Map<TaskName, Long> savedMillis = new HashMap<>();
  private final Map<String, Long> endNumbers = new HashMap<>();
  private final List<Submission> submissions = new ArrayList<>();
  private int gangs;
  private int gangsInTime;

  @Test
  void gangsMeetTheirObjectiveAndBatchesComplete() {
    run(true);
    final int with = gangsInTime;
    assertThat(fixture.events).anyMatch(event -> event.contains(" preempting "));
    assertThat(submissions)
        .allMatch(submission -> submission.visibleState() == SubmissionState.COMPLETED);
    run(false);
    assertThat(with).isGreaterThanOrEqualTo(gangs * 9 / 10);
    assertThat(gangsInTime).isLessThan(gangs / 2);
  }

  private void run(boolean preemption) {
    DecisionSettings decisions =
        new DecisionSettings(preemption, true, true, true, Optional.of(COST));
    fixture = new CellFixture(1, CellFixture.TIMINGS.withDecisions(decisions));
    random = new Random(11);
    present.clear();
    calls.clear();
    savedMillis.clear();
    endNumbers.clear();
    submissions.clear();
    gangs = 0;
    gangsInTime = 0;
    Resources capacity = new Resources(64_000, 256_000, 0);
    for (int index = 0; index < 30; index++) {
      fixture.listWorker(FakeFleet.entry("w" + index, "10.0.0." + index + ":1", 1, capacity));
    }
    for (WorkerView worker : fixture.cell.workers()) {
      fixture.reportFrom(worker);
    }
    long end = fixture.now + SUBMIT_MILLIS;
    while (fixture.now < end) {
      if (random.nextDouble() < 0.5 * TICK_MILLIS / 1_000) {
        submit("gang" + gangs++, GANGS, 6, 18_000, 5_000, true);
      }
      if (random.nextDouble() < 9.0 * TICK_MILLIS / 1_000) {
        submit("batch" + submissions.size(), BATCHES, 25, 6_900, 2_200, false);
      }
      step();
    }
    for (long left = DRAIN_MILLIS; left > 0; left -= TICK_MILLIS) {
      step();
    }
  }

  private void submit(
      String id, QueueTerms queue, int count, long cores, long millis, boolean gang) {
    StepFlags flags = new StepFlags(gang, false, !gang, false, false, false);
    Resources each = new Resources(cores, 1_000, 0);
    StepSpec step = new StepSpec(count, each, millis, List.of(), flags, "", "", 0, "", 0, 0);
    submissions.add(
        fixture.cell.accept(
            new SubmissionSpec(id, "customer", queue, "text", List.of(step), 0, 0, 0, 0),
            fixture.now));
  }

  private void step() {
    fixture.advance(TICK_MILLIS);
    answerCalls();
    for (RunKey stopped : fixture.stops) {
      present.stream()
          .filter(next -> next.run.key().equals(stopped) && next.stopsAt == Long.MAX_VALUE)
          .forEach(next -> next.stopsAt = fixture.now + 150);
    }
    fixture.stops.clear();
    for (WorkerView worker : fixture.cell.workers()) {
      report(worker);
    }
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    fixture.pass();
    for (CellFixture.StartedRun started : fixture.starts) {
      Run run = started.run();
      assertThat(started.ticket()).isNotNull();
      fixture.cell.startAnswered(run, StartAnswer.of(StartOutcome.STARTED), fixture.now);
      long saved = savedMillis.getOrDefault(run.key().task(), 0L);
      long restore = run.checkpoint().isEmpty() ? 0 : COST.restoreMillis();
      present.add(new Present(run, fixture.now + restore, saved));
    }
    fixture.starts.clear();
    fixture.adviceRequests.forEach(
        request -> {
          long call = Math.round(ADVICE.callMillis(request.workers().size()));
          calls.add(new Call(fixture.now + call, request));
        });
    fixture.adviceRequests.clear();
  }

  private void answerCalls() {
    for (Call call : List.copyOf(calls)) {
      if (call.at <= fixture.now) {
        calls.remove(call);
        Map<String, String> tickets = new HashMap<>();
        String id = call.request.step().submission().spec().id();
        int percent = id.startsWith("gang") ? 33 : 45;
        for (WorkerView worker : call.request.workers()) {
          if (new Random((id + worker.id()).hashCode()).nextInt(100) < percent) {
            tickets.put(worker.id(), "ticket");
          }
        }
        fixture.cell.adviceAnswered(
            call.request.step(), call.request.workers(), tickets, 2_500, fixture.now);
      }
    }
  }

  private void report(WorkerView worker) {
    List<EndedRun> ends = new ArrayList<>();
    List<RunningTask> running = new ArrayList<>();
    for (Present next : List.copyOf(present)) {
      if (next.run.worker() != worker) {
        continue;
      }
      StepSpec spec = next.run.submission().spec().steps().get(0);
      long done = next.doneBefore + Math.max(0, fixture.now - next.startedAt);
      boolean ended = done >= spec.estimateMillis();
      if (!ended && fixture.now < next.stopsAt) {
        int percent = (int) (100 * done / spec.estimateMillis());
        running.add(new RunningTask(next.run.key(), "", percent));
        continue;
      }
      present.remove(next);
      long saved = done - done % COST.saveMillis();
      savedMillis.put(next.run.key().task(), saved);
      ends.add(
          new EndedRun(
              endNumbers.merge(worker.id(), 1L, Long::sum),
              next.run.key(),
              ended ? RunEnd.DONE : RunEnd.STOPPED,
              spec.flags().checkpoints() ? "at " + saved : ""));
      if (ended && spec.flags().gang() && next.run.key().task().index() == 0) {
        Submission submission = next.run.submission();
        long objective = Math.round(2.2 * spec.estimateMillis()) + 1_000;
        gangsInTime += fixture.now - submission.acceptedAt <= objective ? 1 : 0;
      }
    }
    fixture.reportNow(worker, 1, running, ends);
  }
}
