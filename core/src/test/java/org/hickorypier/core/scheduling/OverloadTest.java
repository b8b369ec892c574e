package org.hickorypier.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.junit.jupiter.api.Test;

/** Bursts, skew, slow and bad workers and saturation, as the callers see them. */
class OverloadTest {

  private static final ToLongFunction<PlacedTask> ONE_SECOND = task -> 1_000;

  /**
   * The callers of a small team get their answers while another floods. The flood comes first and
   * fills the fleet and its own queue; the small team's requests come a few a second. Fair order
   * gives them the next places, so none is refused or given up.
   */
  @Test
  void smallTeamIsServedBesideFlood() {
    SimulatedLoad load = new SimulatedLoad(Work.scheduler(5, "large", "small"), ONE_SECOND);
    for (int i = 0; i < 400; i++) {
      load.submit(Work.request("large", "burst-" + i, load.now(), load.now() + 60_000));
    }
    for (int i = 0; i < 100; i++) {
      load.submit(Work.request("large", "l" + i, load.now(), load.now() + 60_000));
      load.submit(Work.request("small", "s" + i, load.now(), load.now() + 3_000));
      load.run(100);
    }

    assertThat(load.refused("small")).isZero();
    assertThat(load.givenUp("small")).isZero();
  }

  /**
   * At twice the capacity callers are told at once that it will not do, and when to come back. What
   * is accepted starts before its deadline; the workers never run dry.
   */
  @Test
  void saturationRefusesEarlyAndStartsAcceptedWork() {
    SimulatedLoad load = new SimulatedLoad(Work.scheduler(5, "north"), ONE_SECOND);
    for (int i = 0; i < 1_600; i++) {
      load.submit(Work.request("north", "r" + i, load.now(), load.now() + 2_000));
      load.run(i % 4 == 0 ? 50 : 0);
    }

    assertThat(load.refusals()).isNotEmpty();
    assertThat(load.refusals())
        .allMatch(refusal -> refusal.reason() == RefusalReason.DEADLINE_TOO_NEAR)
        .allMatch(refusal -> refusal.retryAfterMillis() > 0);
    assertThat(load.givenUp("north")).isZero();
    assertThat(load.completed()).isGreaterThan(720);
  }

  /**
   * A caller whose task has a size of its own is told at once that a full queue will not reach it.
   * The head of the queue was tried in vain; the new size was not tried yet, which once passed for
   * room, and such callers waited to their deadlines.
   */
  @Test
  void newSizeIsRefusedBehindBlockedHead() {
    Scheduler scheduler = Work.scheduler(1, "north");
    for (int i = 0; i < 28; i++) {
      scheduler.submit(Work.request("north", "r" + i), 0);
    }
    scheduler.place(0);
    Resources other = new Resources(1_250, 1_024, 0);
    WorkKey key = new WorkKey("north", "new");
    WorkItem item =
        new WorkItem(key, WorkClass.REQUEST, "check", other, 1, true, 0, 500, Work.RUN_MILLIS);

    assertThat(scheduler.submit(item, 0))
        .map(Refusal::reason)
        .contains(RefusalReason.DEADLINE_TOO_NEAR);
  }

  /**
   * Urgent callers never wait on a full fleet while they are few. Other work takes each place that
   * comes free, but for the gap that is kept; an urgent task takes it, and the next end fills it
   * up.
   */
  @Test
  void fewUrgentCallersDoNotWaitOnFullFleet() {
    ToLongFunction<PlacedTask> unlike =
        task -> 500 + new SplittableRandom(task.taskId().hashCode()).nextInt(1_000);
    SimulatedLoad load = new SimulatedLoad(Work.scheduler(10, "north", "south"), unlike);
    for (int i = 0; i < 100; i++) {
      load.submit(Work.item("south", "batch" + i, WorkClass.BATCH, Work.SMALL, 40), true);
      load.run(30);
    }
    load.submit(Work.item("north", "first", WorkClass.URGENT, Work.SMALL, 1), true);
    load.run(2_000);
    for (int i = 0; i < 50; i++) {
      load.submit(Work.item("north", "u" + i, WorkClass.URGENT, Work.SMALL, 1), true);
      assertThat(load.started("north")).isEqualTo(i + 2);
      load.run(100);
    }
  }

  /**
   * Urgent callers flood; all other work still goes on. Urgent work goes first until it has held
   * the others back for the hold time; then each fourth place is theirs.
   */
  @Test
  void urgentFloodDoesNotStopOtherWork() {
    SimulatedLoad load = new SimulatedLoad(Work.scheduler(2, "north", "south"), ONE_SECOND);
    load.submit(Work.item("south", "batch", WorkClass.BATCH, Work.SMALL, 1_000), true);
    for (int i = 0; i < 600; i++) {
      load.submit(Work.item("north", "u" + i, WorkClass.URGENT, Work.SMALL, 1));
    }
    load.run(16_000);

    assertThat(load.started("south")).isBetween(50L, 90L);
    assertThat(load.started("north")).isGreaterThan(160L);
  }

  /**
   * A worker that fails each task at once looks idle all the time and would fail the callers of the
   * whole fleet. It is quarantined after three and gets one task at a time afterwards.
   */
  @Test
  void workerThatFailsEverythingIsQuarantined() {
    SimulatedLoad load =
        new SimulatedLoad(
            Work.scheduler(6, "north"), task -> task.worker().equals("worker-0") ? -1 : 1_000);
    for (int i = 0; i < 1_000; i++) {
      load.submit(Work.request("north", "r" + i, load.now(), load.now() + 60_000));
      load.run(30);
    }

    assertThat(load.failed()).isBetween(3L, 8L);
    assertThat(load.scheduler().workers())
        .filteredOn(room -> room.worker().name().equals("worker-0"))
        .allMatch(room -> room.state().equals("quarantined") || room.state().equals("probing"));
  }

  /** A worker that was mended is found by a probe and used in full again. */
  @Test
  void recoveredWorkerLeavesQuarantine() {
    boolean[] broken = {true};
    SimulatedLoad load =
        new SimulatedLoad(
            Work.scheduler(3, "north"),
            task -> broken[0] && task.worker().equals("worker-0") ? -1 : 1_000);
    for (int i = 0; i < 600; i++) {
      broken[0] = i < 300;
      load.submit(Work.request("north", "r" + i, load.now(), load.now() + 60_000));
      load.run(100);
    }

    assertThat(load.scheduler().workers()).allMatch(room -> room.state().equals("open"));
  }

  /**
   * Faulty work fails wherever it runs. Its callers get their failures; the workers stay open for
   * the others, but for the part that may be in quarantine.
   */
  @Test
  void faultyWorkDoesNotQuarantineMostWorkers() {
    SimulatedLoad load = new SimulatedLoad(Work.scheduler(8, "north"), task -> -1);
    for (int i = 0; i < 300; i++) {
      load.submit(Work.request("north", "r" + i, load.now(), load.now() + 60_000));
      load.run(20);
    }

    assertThat(load.scheduler().workers().stream().filter(room -> room.state().equals("open")))
        .hasSizeGreaterThanOrEqualTo(6);
  }

  /** One worker is ten times slower; it delays one caller at a time and not eight. */
  @Test
  void slowWorkerGetsOneTaskAtATime() {
    SimulatedLoad load =
        new SimulatedLoad(
            Work.scheduler(6, "north"), task -> task.worker().equals("worker-0") ? 10_000 : 1_000);
    for (int i = 0; i < 1_500; i++) {
      load.submit(Work.request("north", "r" + i, load.now(), load.now() + 60_000));
      load.run(40);
    }

    assertThat(load.scheduler().workers())
        .filteredOn(room -> room.worker().name().equals("worker-0"))
        .allMatch(room -> room.state().equals("probing") && room.freeSlots() >= 7);
  }

  /**
   * A gang that needs most of a busy fleet starts. Small work keeps coming and would fill each gap;
   * after the hold time the workers are kept free until the gang fits.
   */
  @Test
  void gangIsNotStarvedBySmallWork() {
    SimulatedLoad load = new SimulatedLoad(Work.scheduler(4, "north", "south"), ONE_SECOND);
    load.submit(Work.item("south", "small", WorkClass.BATCH, Work.SMALL, 100_000), true);
    load.run(2_000);
    load.submit(Work.item("north", "gang", WorkClass.GANG, new Resources(8_000, 8_192, 0), 6));
    load.run(14_000);

    assertThat(load.started("north")).isEqualTo(6);
    assertThat(load.started("south")).isGreaterThan(400);
  }

  /**
   * The owner of a faulty job is told so before all of it has run. Its first tasks fail on three
   * workers; the rest, which would fail as well, is given up on and not started.
   */
  @Test
  void remainingTasksOfFaultyJobAreRefused() {
    Scheduler scheduler = Work.scheduler(4, "north");
    scheduler.submit(Work.item("north", "bad", WorkClass.BATCH, Work.SMALL, 500), 0);
    for (PlacedTask task : scheduler.place(0).get(0).tasks()) {
      scheduler.ended(task.taskId(), TaskEnd.FAILED, 10);
    }

    assertThat(scheduler.expire(10))
        .extracting(givenUp -> givenUp.refusal().reason())
        .containsExactly(RefusalReason.FAILS_EVERYWHERE);
    assertThat(scheduler.place(11)).isEmpty();
  }

  /**
   * A team stays within its permits, whatever workers are held for it. Workers are held for two of
   * its large tasks while one permit is left; when all come free at once, only one may start.
   */
  @Test
  void heldWorkersDoNotExceedTeamPermits() {
    Scheduler scheduler = Work.scheduler(16);
    scheduler.putPermits("north", 1);
    for (int i = 0; i < 16; i++) {
      TaskId busy = new TaskId(new WorkKey("south", "b" + i), 1, 0);
      scheduler.adopt(busy, "worker-" + i, WorkClass.BATCH, Work.CAPACITY, 0);
    }
    Resources large = new Resources(8_000, 8_192, 0);
    scheduler.submit(Work.item("north", "first", WorkClass.BATCH, large, 1), 0);
    scheduler.submit(Work.item("north", "second", WorkClass.BATCH, large, 1), 0);
    for (long now = 0; now <= 3_000; now += 100) {
      scheduler.place(now);
    }
    for (int i = 0; i < 16; i++) {
      scheduler.ended(new TaskId(new WorkKey("south", "b" + i), 1, 0), TaskEnd.COMPLETED, 3_000);
    }

    assertThat(scheduler.place(3_000)).hasSize(1);
    assertThat(scheduler.waitingTasks("north")).isEqualTo(1);
  }

  /** Several large gangs wait at once; each gets its workers in turn, and none blocks another. */
  @Test
  void concurrentGangsAllStart() {
    String[] teams = {"a", "b", "c", "d"};
    SimulatedLoad load = new SimulatedLoad(Work.scheduler(4, "a", "b", "c", "d", "s"), ONE_SECOND);
    load.submit(Work.item("s", "small", WorkClass.BATCH, Work.SMALL, 100_000), true);
    for (String team : teams) {
      load.submit(Work.item(team, "g", WorkClass.GANG, new Resources(8_000, 8_192, 0), 6), true);
    }
    load.run(30_000);

    assertThat(teams).allMatch(team -> load.started(team) == 6);
  }

  /**
   * A team that floods its own share with requests still sees its jobs go on. Each fourth of its
   * places goes to a job that waits.
   */
  @Test
  void jobsProgressBesideRequestsOfSameTeam() {
    SimulatedLoad load = new SimulatedLoad(Work.scheduler(2, "north"), ONE_SECOND);
    load.submit(Work.item("north", "job", WorkClass.BATCH, Work.SMALL, 40), true);
    for (int i = 0; i < 900; i++) {
      load.submit(Work.request("north", "r" + i));
    }
    load.run(10_000);

    assertThat(load.scheduler().waitingTasks("north")).isPositive();
    assertThat(load.scheduler().queued()).noneMatch(item -> item.tasks() == 40);
  }

  /**
   * An item past its deadline never starts, also when workers were held for it. The hold is tried
   * before the queues, which skip late items; it started one late before it looked as well.
   */
  @Test
  void heldItemDoesNotStartAfterItsDeadline() {
    Scheduler scheduler = Work.scheduler(1, "north");
    WorkKey busy = new WorkKey("south", "busy");
    scheduler.adopt(new TaskId(busy, 1, 0), "worker-0", WorkClass.BATCH, Work.CAPACITY, 0);
    scheduler.submit(
        new WorkItem(
            new WorkKey("north", "gang"), WorkClass.GANG, "g", Work.SMALL, 2, true, 0, 15_000, 9),
        0);
    scheduler.place(0);
    scheduler.place(12_000);
    scheduler.ended(new TaskId(busy, 1, 0), TaskEnd.COMPLETED, 16_000);

    assertThat(scheduler.place(16_000)).isEmpty();
    assertThat(scheduler.expire(16_000))
        .extracting(givenUp -> givenUp.refusal().reason())
        .containsExactly(RefusalReason.DEADLINE_PASSED);
  }

  /** A wave of cancellations empties the queue, and the places go to who still waits. */
  @Test
  void massCancellationEmptiesQueue() {
    Scheduler scheduler = Work.scheduler(0, "north");
    for (int round = 0; round < 50; round++) {
      for (int i = 0; i < 900; i++) {
        scheduler.submit(Work.request("north", round + "-" + i), round);
      }
      for (int i = 0; i < 900; i++) {
        assertThat(scheduler.cancelQueued(new WorkKey("north", round + "-" + i))).isTrue();
      }
    }

    assertThat(scheduler.queued()).isEmpty();
    assertThat(scheduler.waitingTasks("north")).isZero();
    scheduler.putWorker(Work.worker(0), true);
    assertThat(scheduler.submit(Work.request("north", "last"), 60)).isEmpty();
    assertThat(scheduler.place(60)).hasSize(1);
  }

  /**
   * Tasks that use far more than declared get that room on the next start, and now if it is free.
   */
  @Test
  void reservationGrowsToReportedUse() {
    Scheduler scheduler = Work.scheduler(1, "north");
    Resources real = new Resources(4_000, 16_384, 0);
    for (int i = 0; i < 5; i++) {
      scheduler.submit(Work.request("north", "r" + i), i);
      TaskId id = scheduler.place(i).get(0).tasks().get(0).taskId();
      scheduler.reportUsage(id, real, i);
      assertThat(scheduler.placed().get(0).reserved()).isEqualTo(real);
      scheduler.ended(id, TaskEnd.COMPLETED, i);
    }
    scheduler.submit(Work.request("north", "next"), 10);

    PlacedTask next = scheduler.place(10).get(0).tasks().get(0);
    assertThat(next.reserved().memoryMebibytes()).isEqualTo(16_384);
    assertThat(next.reserved().milliProcessors()).isBetween(4_000L, 4_500L);
  }

  /** Declared run times tell nothing here: long and short work mixed, and all of it ends. */
  @Test
  void mixedLongAndShortWorkCompletes() {
    SimulatedLoad load =
        new SimulatedLoad(
            Work.scheduler(4, "north", "south"),
            task -> task.taskId().key().team().equals("north") ? 20 : 4_000);
    for (int i = 0; i < 300; i++) {
      load.submit(Work.request("north", "short" + i, load.now(), load.now() + 10_000));
      if (i % 10 == 0) {
        load.submit(Work.item("south", "long" + i, WorkClass.BATCH, Work.SMALL, 2));
      }
      load.run(50);
    }
    load.run(20_000);

    assertThat(load.completed()).isEqualTo(360);
    assertThat(load.refusals()).isEqualTo(List.<Refusal>of());
  }
}
