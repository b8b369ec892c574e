package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.hickorypier.core.admission.AdmissionDecision;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.junit.jupiter.api.Test;

/**
 * Plays loads of short checks, gangs and batches on eight workers of 16 cores in fake time; the
 * estimates of the checks are wrong by up to nine tenths. Guards against refusals of work that the
 * cell can do, against lost useful work under overload, and against newcomers that overtake.
 */
class AdmissionLoadTest {

  private static final int TICK_MILLIS = 20;
  private static final long WARM_UP_MILLIS = 10_000;
  private static final double USUAL_LOAD = 0.89;
  private static final long BACKLOG_AGE_MILLIS = 100;

  private static final Kind CHECK = new Kind(queue("checks", 0, 1.5, 250), 2, 1_400, 640, 8.9);
  private static final Kind GANG = new Kind(queue("gangs", 1, 2.2, 1_000), 5, 4_500, 4_000, 0.56);
  private static final Kind BATCH = new Kind(queue("batches", 2, 4, 3_000), 10, 980, 3_400, 1.85);

  /** A kind of submission, with its rate per second at the capacity of the cell. */
  private record Kind(
      QueueTerms queue, int tasks, long milliProcessors, long runMillis, double rate) {

    double coreSeconds() {
      return tasks * milliProcessors * runMillis / 1e6;
    }
  }

  private record Caller(long at, SubmissionSpec spec, Kind kind, boolean returned) {}

  private record ScheduledEnd(long at, Run run) {}

  private static QueueTerms queue(String name, int priority, double stretch, long objective) {
    return new QueueTerms(name, "service", priority, 3, stretch, objective, Optional.empty());
  }

  /** A cell with its workers and callers. */
  private static final class Load {
    private final CellFixture fixture;
    private final Random random;
    private final PriorityQueue<Caller> callers =
        new PriorityQueue<>((one, other) -> Long.compare(one.at, other.at));
    private final PriorityQueue<ScheduledEnd> scheduledEnds =
        new PriorityQueue<>((one, other) -> Long.compare(one.at, other.at));
    private final Map<Submission, Kind> open = new HashMap<>();
    private final Map<String, Long> endNumbers = new HashMap<>();
    private int count;
    private int refused;
    private int returnsRefused;
    private int returnsAccepted;
    private int newcomersAccepted;
    private int newcomersRefused;
    private int overtakers;
    private int estimated;
    private int endedBeforeEstimate;
    private long returnRefusedAt = -BACKLOG_AGE_MILLIS;
    private double usefulCoreSeconds;

    Load(long seed, boolean admission) {
      random = new Random(seed);
      DecisionSettings decisions =
          new DecisionSettings(true, admission, true, true, Optional.empty());
      fixture = new CellFixture(1, CellFixture.TIMINGS.withDecisions(decisions));
      for (int index = 0; index < 8; index++) {
        fixture.addWorker("w" + index);
      }
      play(WARM_UP_MILLIS, 0.5);
      usefulCoreSeconds = 0;
    }

    void play(long millis, double load) {
      play(millis, load, load, load);
    }

    void play(long millis, double checks, double gangs, double batches) {
      long end = fixture.now + millis;
      while (fixture.now < end) {
        arrive(CHECK, checks);
        arrive(GANG, gangs);
        arrive(BATCH, batches);
        while (!callers.isEmpty() && callers.peek().at <= fixture.now) {
          submit(callers.remove());
        }
        runWorkers();
        fixture.advance(TICK_MILLIS);
      }
    }

    private void arrive(Kind kind, double load) {
      if (random.nextDouble() < load * kind.rate * TICK_MILLIS / 1_000) {
        callers.add(new Caller(fixture.now, spec(kind), kind, false));
      }
    }

    private SubmissionSpec spec(Kind kind) {
      double wrong = kind == CHECK ? 0.1 + 1.8 * random.nextDouble() : 1;
      StepSpec step =
          new StepSpec(
              kind.tasks,
              new Resources(kind.milliProcessors, 1_000, 0),
              Math.round(wrong * kind.runMillis),
              List.of(),
              new StepFlags(kind == GANG, false, false, false, false, false),
              "",
              "",
              0,
              "",
              0,
              0);
      String id = "%016x".formatted(count++);
      return new SubmissionSpec(id, "customer", kind.queue, "text", List.of(step), 0, 0, 0, 0);
    }

    private void submit(Caller caller) {
      AdmissionDecision decision = fixture.cell.admit(caller.spec, true, fixture.now);
      if (decision.accepted()) {
        returnsAccepted += caller.returned ? 1 : 0;
        newcomersAccepted += caller.returned ? 0 : 1;
        boolean returnWaits = fixture.now - returnRefusedAt < BACKLOG_AGE_MILLIS;
        overtakers += !caller.returned && caller.kind == BATCH && returnWaits ? 1 : 0;
        open.put(fixture.cell.find(caller.spec.id()), caller.kind);
        return;
      }
      refused++;
      if (caller.returned) {
        returnsRefused++;
        returnRefusedAt = fixture.now;
      }
      newcomersRefused += caller.returned ? 0 : 1;
      assertThat(decision.retryAfterMillis() % 1_000).isZero();
      assertThat(decision.retryAfterMillis()).isBetween(1_000L, 10_000L);
      assertThat(fixture.cell.find(caller.spec.id())).isNull();
      long back = fixture.now + decision.retryAfterMillis();
      callers.add(new Caller(back, caller.spec, caller.kind, true));
    }

    private void runWorkers() {
      Map<String, List<EndedRun>> ends = new HashMap<>();
      while (!scheduledEnds.isEmpty() && scheduledEnds.peek().at <= fixture.now) {
        Run run = scheduledEnds.remove().run;
        String worker = run.worker().id();
        long number = endNumbers.merge(worker, 1L, Long::sum);
        ends.computeIfAbsent(worker, id -> new ArrayList<>())
            .add(new EndedRun(number, run.key(), RunEnd.DONE, ""));
      }
      for (WorkerView worker : fixture.cell.workers()) {
        List<EndedRun> ended = ends.getOrDefault(worker.id(), List.of());
        List<RunningTask> running = new ArrayList<>();
        worker.runs.values().stream()
            .filter(run -> ended.stream().noneMatch(next -> next.run() == run.key()))
            .forEach(run -> running.add(new RunningTask(run.key(), "", percent(run))));
        fixture.reportNow(worker, worker.bornMillis(), running, ended);
      }
      fixture.writePending();
      if (fixture.now % 100 < TICK_MILLIS) {
        fixture.cell.tick(fixture.now, fixture.now);
        fixture.writePending();
      }
      fixture.pass();
      for (CellFixture.StartedRun started : fixture.starts) {
        fixture.cell.startAnswered(
            started.run(), StartAnswer.of(StartOutcome.STARTED), fixture.now);
        long runMillis = open.get(started.run().submission()).runMillis;
        scheduledEnds.add(new ScheduledEnd(fixture.now + runMillis, started.run()));
      }
      fixture.starts.clear();
      open.entrySet().removeIf(entry -> hasEnded(entry.getKey(), entry.getValue()));
    }

    private int percent(Run run) {
      long runMillis = open.get(run.submission()).runMillis;
      return (int) Math.min(99, 100 * (fixture.now - run.confirmedAt) / runMillis);
    }

    private void report(String name) {
      System.out.printf(
          "%s: useful %.0f core-s, newcomers %d of %d, returns %d of %d, overtakers %d,"
              + " %d of %d ended before their estimate%n",
          name,
          usefulCoreSeconds,
          newcomersAccepted,
          newcomersAccepted + newcomersRefused,
          returnsAccepted,
          returnsAccepted + returnsRefused,
          overtakers,
          endedBeforeEstimate,
          estimated);
    }

    private boolean hasEnded(Submission submission, Kind kind) {
      if (submission.isLive()) {
        return false;
      }
      if (submission.estimateMillis > 0) {
        estimated++;
        long real = fixture.now - submission.acceptedAt;
        endedBeforeEstimate += real < submission.estimateMillis ? 1 : 0;
      }
      long objective =
          Math.round(kind.queue.stretch() * kind.runMillis) + kind.queue.objectiveMillis();
      if (fixture.now - submission.acceptedAt <= objective) {
        usefulCoreSeconds += kind.coreSeconds();
      }
      return true;
    }
  }

  @Test
  void neverRefusesBelowCapacityNorInShortBursts() {
    Load load = new Load(11, true);
    for (int burst = 0; burst < 4; burst++) {
      load.play(2_000, 3);
      load.play(15_000, USUAL_LOAD * 0.8);
    }
    load.play(30_000, USUAL_LOAD);
    load.report("bursts");
    assertThat(load.endedBeforeEstimate).isZero();
    assertThat(load.refused).isZero();
  }

  @Test
  void doesAsMuchUsefulWorkUnderTwiceTheLoad() {
    double usualWork = 0;
    double twiceWork = 0;
    for (int seed = 1; seed <= 3; seed++) {
      Load usual = new Load(seed, true);
      usual.play(60_000, USUAL_LOAD);
      usual.report("usual");
      Load twice = new Load(seed, true);
      twice.play(60_000, 2);
      twice.report("twice");
      usualWork += usual.usefulCoreSeconds;
      twiceWork += twice.usefulCoreSeconds;
    }
    assertThat(twiceWork).isGreaterThan(0.95 * usualWork);
  }

  @Test
  void doesMoreUsefulWorkInSurgeThanWithoutRefusals() {
    Load surge = new Load(1, true);
    surge.play(40_000, USUAL_LOAD, USUAL_LOAD, 20);
    surge.report("surge");
    Load unlimited = new Load(1, false);
    unlimited.play(40_000, USUAL_LOAD, USUAL_LOAD, 20);
    unlimited.report("surge without admission");
    assertThat(surge.refused).isPositive();
    assertThat(unlimited.refused).isZero();
    assertThat(surge.usefulCoreSeconds).isGreaterThan(1.1 * unlimited.usefulCoreSeconds);
  }

  @Test
  void callersThatReturnGetInBeforeNewcomers() {
    Load load = new Load(11, true);
    load.play(20_000, 0.5, 0.5, 25);
    load.play(30_000, 0.5, 0.5, 1);
    load.report("returns");
    assertThat(load.newcomersRefused).isPositive();
    assertThat(load.returnsAccepted).isEqualTo(load.newcomersRefused);
    assertThat(load.overtakers).isZero();
  }

  @Test
  void knownIdIsNeverRefusedAndNextOwnerAcceptsByItsOwnEstimate() {
    Load load = new Load(11, true);
    load.play(12_000, 0.5, 0.5, 25);
    Submission known = load.open.keySet().iterator().next();
    SubmissionSpec refused =
        load.callers.stream().filter(Caller::returned).findFirst().orElseThrow().spec;
    CellFixture owner = load.fixture;
    assertThat(owner.cell.admit(load.spec(BATCH), true, owner.now).accepted()).isFalse();
    assertThat(owner.cell.admit(load.spec(BATCH), false, owner.now).accepted()).isTrue();
    assertThat(owner.cell.admit(known.spec(), true, owner.now).accepted()).isTrue();
    assertThat(owner.cell.explain(known.spec().id(), owner.now))
        .anyMatch(line -> line.contains("estimated"));
    CellFixture next = owner.successorFromStore(2);
    assertThat(next.cell.admit(refused, true, next.now).accepted()).isTrue();
    assertThat(next.cell.find(refused.id())).isNotNull();
  }
}
