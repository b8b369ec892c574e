package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.hickorypier.core.estimation.WorkerSpeed;
import org.hickorypier.core.estimation.WorkerSpeedCodec;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.hickorypier.wire.UndecodableException;
import org.junit.jupiter.api.Test;

/**
 * Plays a load on workers of one kind, two thirds of which take 0.7 of the usual time and one third
 * 1.7 times as long: checks of 3 tasks, three in ten of them gangs, gangs of 16 tasks, and batches
 * of 25 tasks with time to spare. Tasks differ by 0.3, three in a hundred are seven times as long,
 * and estimates of checks are off by up to 0.9.
 */
class WorkerSpeedLoadTest {

  private static final int WORKERS = 36;
  private static final int TICK_MILLIS = 10;
  private static final long WARM_UP_MILLIS = 8_000;
  private static final long DURATION_MILLIS = 40_000;

  /** The kinds of work, with their rates and lengths at the usual speed. */
  private enum Work {
    CHECK(0, 1.5, 300, 3, 2_500, 540, 11.3),
    GANG(1, 2.2, 0, 16, 4_500, 5_300, 0.39),
    BATCH(2, 4, 0, 25, 1_700, 2_300, 1.22);

    private final QueueTerms queue;
    private final int count;
    private final long processors;
    private final long workMillis;
    private final double perSecond;

    Work(
        int priority,
        double stretch,
        long objective,
        int count,
        long processors,
        long workMillis,
        double perSecond) {
      this.queue =
          new QueueTerms(name(), "service", priority, 3, stretch, objective, Optional.empty());
      this.count = count;
      this.processors = processors;
      this.workMillis = workMillis;
      this.perSecond = perSecond;
    }
  }

  /** The results of one kind of work. */
  private static final class Result {
    private int ended;
    private int inTime;
    private int gangs;
    private int gangsWithSlowMember;
    private int gangsWithSlowMemberDespiteRoom;

    private double share() {
      return inTime / (double) ended;
    }
  }

  /** A run and the time at which it ends. */
  private record ScheduledEnd(long startedAt, long at, Run run) {}

  /** One play of the load, the same with and without the speeds of workers. */
  private static final class Player {
    private final Random random = new Random(3);
    private final CellFixture fixture;
    private final Map<String, Double> factors = new HashMap<>();
    private final Map<String, Double> lengths = new HashMap<>();
    private final Map<Submission, Work> open = new HashMap<>();
    private final PriorityQueue<ScheduledEnd> runs =
        new PriorityQueue<>((one, other) -> Long.compare(one.at, other.at));
    private final Map<RunKey, ScheduledEnd> running = new HashMap<>();
    private final Map<String, List<EndedRun>> ends = new HashMap<>();
    private final Map<String, Long> endNumbers = new HashMap<>();
    private final Map<Work, Result> results = new HashMap<>();
    private int submissions;
    private int stops;

    /** From when on gangs with slow members are compared with the room on fast workers. */
    private long comparedFrom = WARM_UP_MILLIS;

    Player(boolean workerSpeeds) {
      DecisionSettings decisions =
          new DecisionSettings(false, false, false, workerSpeeds, Optional.empty());
      fixture = new CellFixture(1, CellFixture.TIMINGS.withDecisions(decisions));
      for (int index = 0; index < WORKERS; index++) {
        fixture.addWorker("w" + index);
        factors.put("w" + index, index % 3 == 0 ? 1.7 : 0.7);
      }
      for (Work work : Work.values()) {
        results.put(work, new Result());
      }
    }

    Map<Work, Result> play() {
      return play(DURATION_MILLIS);
    }

    Map<Work, Result> play(long millis) {
      long start = fixture.now;
      while (fixture.now < start + millis) {
        for (Work work : Work.values()) {
          if (random.nextDouble() < work.perSecond * TICK_MILLIS / 1_000) {
            submit(work);
          }
        }
        runWorkers();
        recordEnds(fixture.now - start > WARM_UP_MILLIS);
        fixture.advance(TICK_MILLIS);
      }
      return results;
    }

    private void submit(Work work) {
      boolean gang = work == Work.GANG || work == Work.CHECK && random.nextInt(10) < 3;
      double wrong = work == Work.BATCH ? 1 : 0.1 + 1.8 * random.nextDouble();
      StepSpec step =
          new StepSpec(
              work.count,
              new Resources(work.processors, 1_000, 0),
              Math.round(work.workMillis * wrong),
              List.of(),
              new StepFlags(gang, false, false, false, false, false),
              "",
              "",
              0,
              "",
              0,
              0);
      String id = "%016x".formatted(submissions++);
      for (int task = 0; task < work.count; task++) {
        double length = 1 + 0.3 * (2 * random.nextDouble() - 1);
        lengths.put(id + task, !gang && random.nextInt(100) < 3 ? 7 * length : length);
      }
      SubmissionSpec spec =
          new SubmissionSpec(id, "customer", work.queue, "", List.of(step), 0, 0, 0, 0);
      open.put(fixture.cell.accept(spec, fixture.now), work);
    }

    private long runMillis(Run run) {
      Work work = Work.valueOf(run.submission().spec().queue().name());
      double millis = 0;
      for (Task task : run.task.step.isGang() ? run.task.step.tasks : new Task[] {run.task}) {
        double length = lengths.get(run.key().task().submission() + task.index);
        double factor = factors.get((task == run.task ? run : task.currentRun).worker().id());
        millis = Math.max(millis, work.workMillis * length * factor);
      }
      return Math.round(millis);
    }

    private void runWorkers() {
      while (!runs.isEmpty() && runs.peek().at <= fixture.now) {
        end(runs.remove().run, RunEnd.DONE);
      }
      for (WorkerView worker : fixture.cell.workers()) {
        List<RunningTask> present = new ArrayList<>();
        for (Run run : worker.runs.values()) {
          ScheduledEnd end = running.get(run.key());
          if (end != null) {
            long percent = 100 * (fixture.now - end.startedAt) / (end.at - end.startedAt);
            present.add(new RunningTask(run.key(), "", (int) Math.min(99, percent)));
          }
        }
        List<EndedRun> ended = ends.getOrDefault(worker.id(), List.of());
        fixture.cell.renewalAnswered(
            worker, new RenewalReport(1, fixture.now, present, ended), fixture.now, fixture.now);
      }
      ends.clear();
      for (RunKey stopped : fixture.stops) {
        if (running.containsKey(stopped)) {
          stops++;
          end(running.get(stopped).run, RunEnd.STOPPED);
        }
      }
      fixture.stops.clear();
      fixture.writePending();
      if (fixture.now % 100 < TICK_MILLIS) {
        fixture.cell.tick(fixture.now, fixture.now);
        fixture.writePending();
      }
      fixture.pass();
      for (CellFixture.StartedRun started : fixture.starts) {
        Run run = started.run();
        fixture.cell.startAnswered(run, StartAnswer.of(StartOutcome.STARTED), fixture.now);
        ScheduledEnd end = new ScheduledEnd(fixture.now, fixture.now + runMillis(run), run);
        runs.add(end);
        running.put(run.key(), end);
      }
      fixture.starts.stream().map(CellFixture.StartedRun::run).forEach(this::recordGang);
      fixture.starts.clear();
    }

    /** Records whether a gang has a slow member, and whether fast workers had room for it. */
    private void recordGang(Run run) {
      StepRun step = run.task.step;
      if (!step.isGang() || run.task.index > 0) {
        return;
      }
      int slow = 0;
      for (Task member : step.tasks) {
        slow += factors.get(member.currentRun.worker().id()) > 1 ? 1 : 0;
      }
      int room = 0;
      for (WorkerView worker : fixture.cell.workers()) {
        boolean fast = factors.get(worker.id()) < 1 && worker.acceptsOrders(fixture.now);
        room += fast ? Placer.freeSlots(step, worker) : 0;
      }
      Result result = results.get(Work.valueOf(run.submission().spec().queue().name()));
      result.gangs++;
      result.gangsWithSlowMember += slow > 0 ? 1 : 0;
      if (slow > 0 && room >= slow && fixture.now > comparedFrom) {
        result.gangsWithSlowMemberDespiteRoom++;
      }
    }

    private void end(Run run, RunEnd how) {
      ScheduledEnd ended = running.remove(run.key());
      if (ended == null) {
        return;
      }
      runs.remove(ended);
      String worker = run.worker().id();
      long number = endNumbers.merge(worker, 1L, Long::sum);
      ends.computeIfAbsent(worker, id -> new ArrayList<>())
          .add(new EndedRun(number, run.key(), how, ""));
    }

    private void recordEnds(boolean counted) {
      open.entrySet()
          .removeIf(
              entry -> {
                Submission submission = entry.getKey();
                Work work = entry.getValue();
                if (submission.visibleState() != SubmissionState.COMPLETED) {
                  return false;
                }
                double longest = 0;
                for (int task = 0; task < work.count; task++) {
                  longest = Math.max(longest, lengths.get(submission.spec().id() + task));
                }
                double objective =
                    work.queue.stretch() * longest * work.workMillis + work.queue.objectiveMillis();
                if (counted) {
                  Result result = results.get(work);
                  result.ended++;
                  result.inTime += fixture.now - submission.acceptedAt <= objective ? 1 : 0;
                }
                return true;
              });
    }
  }

  /**
   * Guards against checks and gangs on slow workers while fast ones have room, against work with
   * time to spare that is late on slow workers, and against stops of tasks that are only long or on
   * a slow worker.
   */
  @Test
  void checksReachFastWorkersAndOtherWorkStaysInTime() throws UndecodableException {
    Player player = new Player(true);
    final Map<Work, Result> with = player.play();
    Player plain = new Player(false);
    final Map<Work, Result> without = plain.play();
    assertThat(with.get(Work.CHECK).share()).isGreaterThan(0.97);
    assertThat(with.get(Work.CHECK).share()).isGreaterThan(without.get(Work.CHECK).share());
    assertThat(with.get(Work.BATCH).share()).isGreaterThan(0.97);
    assertThat(with.get(Work.GANG).share()).isGreaterThan(without.get(Work.GANG).share());
    for (Work work : Work.values()) {
      Result result = with.get(work);
      assertThat(20 * result.gangsWithSlowMemberDespiteRoom).isLessThanOrEqualTo(result.gangs);
    }
    assertThat(player.stops).isLessThan(10);
    assertThat(plain.fixture.savedSpeeds).isEmpty();
    assertSpeedsAreSaved(player);
  }

  /** Guards against checks that are late after a change of owner, until speeds are learned anew. */
  @Test
  void successorPlacesBySpeedFromItsFirstSecond() throws UndecodableException {
    Player owner = new Player(true);
    owner.play();
    List<byte[]> records = owner.fixture.savedSpeeds;
    Player successor = new Player(true);
    successor.fixture.cell.restoreSpeeds(WorkerSpeedCodec.decode(records.get(records.size() - 1)));
    successor.comparedFrom = 0;
    Result checks = successor.play(WARM_UP_MILLIS).get(Work.CHECK);
    assertThat(checks.gangs).isGreaterThan(15);
    assertThat(checks.gangsWithSlowMemberDespiteRoom).isZero();
  }

  /** Guards against a successor that starts without the speeds, and against needless appends. */
  private static void assertSpeedsAreSaved(Player player) throws UndecodableException {
    List<byte[]> records = player.fixture.savedSpeeds;
    assertThat(records).hasSizeBetween(4, (int) (DURATION_MILLIS / 5_000));
    List<WorkerSpeed> speeds = WorkerSpeedCodec.decode(records.get(records.size() - 1));
    assertThat(speeds).hasSize(WORKERS);
    for (WorkerSpeed speed : speeds) {
      assertThat(speed.factor() > 1.1).isEqualTo(player.factors.get(speed.id()) > 1);
    }
  }
}
