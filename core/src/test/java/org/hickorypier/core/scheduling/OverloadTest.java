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

/** Bursts, skew, slow and faulty workers and saturation, from the point of view of the callers. */
class OverloadTest {

  private static final ToLongFunction<PlacedTask> ONE_SECOND = task -> 1_000;

  /**
   * Guards against starvation of a small team while another team floods. The flood arrives first
   * and fills the fleet and its own queue; the requests of the small team arrive a few per second.
   * The fair order gives them the next free slots, so none is refused or given up.
   */
  @Test
  void smallTeamIsServedBesideFlood() {
    SimulatedLoad load =
        new SimulatedLoad(SchedulerFixtures.scheduler(5, "large", "small"), ONE_SECOND);
    for (int i = 0; i < 400; i++) {
      load.submit(
          SchedulerFixtures.request("large", "burst-" + i, load.now(), load.now() + 60_000));
    }
    for (int i = 0; i < 100; i++) {
      load.submit(SchedulerFixtures.request("large", "l" + i, load.now(), load.now() + 60_000));
      load.submit(SchedulerFixtures.request("small", "s" + i, load.now(), load.now() + 3_000));
      load.run(100);
    }

    assertThat(load.refused("small")).isZero();
    assertThat(load.givenUp("small")).isZero();
  }

  /**
   * Guards against accepted work that misses its deadline at twice the capacity. Excess callers are
   * refused at once and learn when to retry. Accepted work starts before its deadline, and the
   * workers never run out of work.
   */
  @Test
  void saturationRefusesEarlyAndStartsAcceptedWork() {
    SimulatedLoad load = new SimulatedLoad(SchedulerFixtures.scheduler(5, "north"), ONE_SECOND);
    for (int i = 0; i < 1_600; i++) {
      load.submit(SchedulerFixtures.request("north", "r" + i, load.now(), load.now() + 2_000));
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
   * Guards against callers that wait until their deadline because their task has a size of its own.
   * A placement of the queue head has failed, but none of the new size has been tried yet, which
   * must not count as room. The caller is refused at once, since the full queue will not reach it.
   */
  @Test
  void newSizeIsRefusedBehindBlockedHead() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north");
    for (int i = 0; i < 28; i++) {
      scheduler.submit(SchedulerFixtures.request("north", "r" + i), 0);
    }
    scheduler.place(0);
    Resources newSize = new Resources(1_250, 1_024, 0);
    WorkKey key = new WorkKey("north", "new");
    WorkItem item =
        new WorkItem(
            key,
            WorkClass.REQUEST,
            "check",
            newSize,
            1,
            true,
            0,
            500,
            SchedulerFixtures.RUN_MILLIS);

    assertThat(scheduler.submit(item, 0))
        .map(Refusal::reason)
        .contains(RefusalReason.DEADLINE_TOO_NEAR);
  }

  /**
   * Guards against waits of a few urgent callers on a full fleet. Other work takes each slot that
   * comes free except for the reserved gap; an urgent task takes the gap, and the next end of a
   * task refills it.
   */
  @Test
  void fewUrgentCallersDoNotWaitOnFullFleet() {
    ToLongFunction<PlacedTask> mixedRunTimes =
        task -> 500 + new SplittableRandom(task.taskId().hashCode()).nextInt(1_000);
    SimulatedLoad load =
        new SimulatedLoad(SchedulerFixtures.scheduler(10, "north", "south"), mixedRunTimes);
    for (int i = 0; i < 100; i++) {
      load.submit(
          SchedulerFixtures.item(
              "south", "batch" + i, WorkClass.BATCH, SchedulerFixtures.SMALL, 40),
          true);
      load.run(30);
    }
    load.submit(
        SchedulerFixtures.item("north", "first", WorkClass.URGENT, SchedulerFixtures.SMALL, 1),
        true);
    load.run(2_000);
    for (int i = 0; i < 50; i++) {
      load.submit(
          SchedulerFixtures.item("north", "u" + i, WorkClass.URGENT, SchedulerFixtures.SMALL, 1),
          true);
      assertThat(load.started("north")).isEqualTo(i + 2);
      load.run(100);
    }
  }

  /**
   * Guards against starvation of all other work by a flood of urgent work. Urgent work goes first
   * until it has blocked other work for the hold time; after that, every fourth start goes to other
   * work.
   */
  @Test
  void urgentFloodDoesNotStopOtherWork() {
    SimulatedLoad load =
        new SimulatedLoad(SchedulerFixtures.scheduler(2, "north", "south"), ONE_SECOND);
    load.submit(
        SchedulerFixtures.item("south", "batch", WorkClass.BATCH, SchedulerFixtures.SMALL, 1_000),
        true);
    for (int i = 0; i < 600; i++) {
      load.submit(
          SchedulerFixtures.item("north", "u" + i, WorkClass.URGENT, SchedulerFixtures.SMALL, 1));
    }
    load.run(16_000);

    assertThat(load.started("south")).isBetween(50L, 90L);
    assertThat(load.started("north")).isGreaterThan(160L);
  }

  /**
   * Guards against a worker that fails each task at once. It looks idle all the time and would fail
   * the callers of the whole fleet. It is quarantined after three failures and gets one task at a
   * time afterwards.
   */
  @Test
  void workerThatFailsEverythingIsQuarantined() {
    SimulatedLoad load =
        new SimulatedLoad(
            SchedulerFixtures.scheduler(6, "north"),
            task -> task.worker().equals("worker-0") ? -1 : 1_000);
    for (int i = 0; i < 1_000; i++) {
      load.submit(SchedulerFixtures.request("north", "r" + i, load.now(), load.now() + 60_000));
      load.run(30);
    }

    assertThat(load.failed()).isBetween(3L, 8L);
    assertThat(load.scheduler().workers())
        .filteredOn(worker -> worker.worker().name().equals("worker-0"))
        .allMatch(
            worker -> worker.state().equals("quarantined") || worker.state().equals("probing"));
  }

  /**
   * Guards against a repaired worker that stays unused: a probe finds it, and it returns to full
   * use.
   */
  @Test
  void recoveredWorkerLeavesQuarantine() {
    boolean[] faulty = {true};
    SimulatedLoad load =
        new SimulatedLoad(
            SchedulerFixtures.scheduler(3, "north"),
            task -> faulty[0] && task.worker().equals("worker-0") ? -1 : 1_000);
    for (int i = 0; i < 600; i++) {
      faulty[0] = i < 300;
      load.submit(SchedulerFixtures.request("north", "r" + i, load.now(), load.now() + 60_000));
      load.run(100);
    }

    assertThat(load.scheduler().workers()).allMatch(worker -> worker.state().equals("open"));
  }

  /**
   * Guards against faulty work that closes the fleet by failing wherever it runs. Its callers get
   * their failures; the workers stay open for other work, except for the fraction that may be in
   * quarantine.
   */
  @Test
  void faultyWorkDoesNotQuarantineMostWorkers() {
    SimulatedLoad load = new SimulatedLoad(SchedulerFixtures.scheduler(8, "north"), task -> -1);
    for (int i = 0; i < 300; i++) {
      load.submit(SchedulerFixtures.request("north", "r" + i, load.now(), load.now() + 60_000));
      load.run(20);
    }

    assertThat(load.scheduler().workers().stream().filter(worker -> worker.state().equals("open")))
        .hasSizeGreaterThanOrEqualTo(6);
  }

  /**
   * Guards against a worker ten times slower than the others that delays eight callers at a time:
   * it gets one task at a time.
   */
  @Test
  void slowWorkerIsLimitedToOneTask() {
    SimulatedLoad load =
        new SimulatedLoad(
            SchedulerFixtures.scheduler(6, "north"),
            task -> task.worker().equals("worker-0") ? 10_000 : 1_000);
    for (int i = 0; i < 1_500; i++) {
      load.submit(SchedulerFixtures.request("north", "r" + i, load.now(), load.now() + 60_000));
      load.run(40);
    }

    assertThat(load.scheduler().workers())
        .filteredOn(worker -> worker.worker().name().equals("worker-0"))
        .allMatch(worker -> worker.state().equals("probing") && worker.freeSlots() >= 7);
  }

  /**
   * Guards against starvation of a gang that needs most of a busy fleet. Small work keeps arriving
   * and would fill each gap; after the hold time, workers are held free until the gang fits.
   */
  @Test
  void gangIsNotStarvedBySmallWork() {
    SimulatedLoad load =
        new SimulatedLoad(SchedulerFixtures.scheduler(4, "north", "south"), ONE_SECOND);
    load.submit(
        SchedulerFixtures.item("south", "small", WorkClass.BATCH, SchedulerFixtures.SMALL, 100_000),
        true);
    load.run(2_000);
    load.submit(
        SchedulerFixtures.item("north", "gang", WorkClass.GANG, new Resources(8_000, 8_192, 0), 6));
    load.run(14_000);

    assertThat(load.started("north")).isEqualTo(6);
    assertThat(load.started("south")).isGreaterThan(400);
  }

  /**
   * Guards against a faulty job that runs in full before its owner learns of the fault. Its first
   * tasks fail on three workers; the remaining tasks, which would fail as well, are given up and
   * not started.
   */
  @Test
  void remainingTasksOfFaultyJobAreRefused() {
    Scheduler scheduler = SchedulerFixtures.scheduler(4, "north");
    scheduler.submit(
        SchedulerFixtures.item("north", "bad", WorkClass.BATCH, SchedulerFixtures.SMALL, 500), 0);
    for (PlacedTask task : scheduler.place(0).get(0).tasks()) {
      scheduler.taskEnded(task.taskId(), TaskEnd.FAILED, 10);
    }

    assertThat(scheduler.expire(10))
        .extracting(givenUp -> givenUp.refusal().reason())
        .containsExactly(RefusalReason.FAILS_EVERYWHERE);
    assertThat(scheduler.place(11)).isEmpty();
  }

  /**
   * Guards against a team that exceeds its permits through held workers. Workers are held for two
   * of its large tasks while one permit is left; when all workers come free at once, only one task
   * may start.
   */
  @Test
  void heldWorkersDoNotExceedTeamPermits() {
    Scheduler scheduler = SchedulerFixtures.scheduler(16);
    scheduler.putPermits("north", 1);
    for (int i = 0; i < 16; i++) {
      TaskId busy = new TaskId(new WorkKey("south", "b" + i), 1, 0);
      scheduler.adopt(busy, "worker-" + i, WorkClass.BATCH, SchedulerFixtures.CAPACITY, 0);
    }
    Resources large = new Resources(8_000, 8_192, 0);
    scheduler.submit(SchedulerFixtures.item("north", "first", WorkClass.BATCH, large, 1), 0);
    scheduler.submit(SchedulerFixtures.item("north", "second", WorkClass.BATCH, large, 1), 0);
    for (long now = 0; now <= 3_000; now += 100) {
      scheduler.place(now);
    }
    for (int i = 0; i < 16; i++) {
      scheduler.taskEnded(
          new TaskId(new WorkKey("south", "b" + i), 1, 0), TaskEnd.COMPLETED, 3_000);
    }

    assertThat(scheduler.place(3_000)).hasSize(1);
    assertThat(scheduler.waitingTasks("north")).isEqualTo(1);
  }

  /**
   * Guards against large gangs that block each other while several wait at once: each gets its
   * workers in turn.
   */
  @Test
  void concurrentGangsAllStart() {
    String[] teams = {"a", "b", "c", "d"};
    SimulatedLoad load =
        new SimulatedLoad(SchedulerFixtures.scheduler(4, "a", "b", "c", "d", "s"), ONE_SECOND);
    load.submit(
        SchedulerFixtures.item("s", "small", WorkClass.BATCH, SchedulerFixtures.SMALL, 100_000),
        true);
    for (String team : teams) {
      load.submit(
          SchedulerFixtures.item(team, "g", WorkClass.GANG, new Resources(8_000, 8_192, 0), 6),
          true);
    }
    load.run(30_000);

    assertThat(teams).allMatch(team -> load.started(team) == 6);
  }

  /**
   * Guards against starvation of the jobs of a team that floods its own share with requests. Every
   * fourth start of the team goes to a waiting job.
   */
  @Test
  void jobsProgressBesideRequestsOfSameTeam() {
    SimulatedLoad load = new SimulatedLoad(SchedulerFixtures.scheduler(2, "north"), ONE_SECOND);
    load.submit(
        SchedulerFixtures.item("north", "job", WorkClass.BATCH, SchedulerFixtures.SMALL, 40), true);
    for (int i = 0; i < 900; i++) {
      load.submit(SchedulerFixtures.request("north", "r" + i));
    }
    load.run(10_000);

    assertThat(load.scheduler().waitingTasks("north")).isPositive();
    assertThat(load.scheduler().queued()).noneMatch(item -> item.tasks() == 40);
  }

  /**
   * Guards against a start after the deadline of an item for which workers are held. Held items are
   * tried before the queues, which skip expired items, so the deadline must be checked for held
   * items as well.
   */
  @Test
  void heldItemDoesNotStartAfterItsDeadline() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north");
    WorkKey busy = new WorkKey("south", "busy");
    scheduler.adopt(
        new TaskId(busy, 1, 0), "worker-0", WorkClass.BATCH, SchedulerFixtures.CAPACITY, 0);
    scheduler.submit(
        new WorkItem(
            new WorkKey("north", "gang"),
            WorkClass.GANG,
            "g",
            SchedulerFixtures.SMALL,
            2,
            true,
            0,
            15_000,
            9),
        0);
    scheduler.place(0);
    scheduler.place(12_000);
    scheduler.taskEnded(new TaskId(busy, 1, 0), TaskEnd.COMPLETED, 16_000);

    assertThat(scheduler.place(16_000)).isEmpty();
    assertThat(scheduler.expire(16_000))
        .extracting(givenUp -> givenUp.refusal().reason())
        .containsExactly(RefusalReason.DEADLINE_PASSED);
  }

  /**
   * Guards against remains of a mass cancellation: the queue is empty afterwards, and later work
   * gets the slots.
   */
  @Test
  void massCancellationEmptiesQueue() {
    Scheduler scheduler = SchedulerFixtures.scheduler(0, "north");
    for (int round = 0; round < 50; round++) {
      for (int i = 0; i < 900; i++) {
        scheduler.submit(SchedulerFixtures.request("north", round + "-" + i), round);
      }
      for (int i = 0; i < 900; i++) {
        assertThat(scheduler.cancelQueued(new WorkKey("north", round + "-" + i))).isTrue();
      }
    }

    assertThat(scheduler.queued()).isEmpty();
    assertThat(scheduler.waitingTasks("north")).isZero();
    scheduler.putWorker(SchedulerFixtures.worker(0), true);
    assertThat(scheduler.submit(SchedulerFixtures.request("north", "last"), 60)).isEmpty();
    assertThat(scheduler.place(60)).hasSize(1);
  }

  /**
   * Guards against reservations that stay at the declared size. Tasks that use far more than
   * declared reserve that room on the next start, and at once if it is free.
   */
  @Test
  void reservationGrowsToReportedUse() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north");
    Resources actualUse = new Resources(4_000, 16_384, 0);
    for (int i = 0; i < 5; i++) {
      scheduler.submit(SchedulerFixtures.request("north", "r" + i), i);
      TaskId id = scheduler.place(i).get(0).tasks().get(0).taskId();
      scheduler.reportUsage(id, actualUse, i);
      assertThat(scheduler.placed().get(0).reserved()).isEqualTo(actualUse);
      scheduler.taskEnded(id, TaskEnd.COMPLETED, i);
    }
    scheduler.submit(SchedulerFixtures.request("north", "next"), 10);

    PlacedTask next = scheduler.place(10).get(0).tasks().get(0);
    assertThat(next.reserved().memoryMebibytes()).isEqualTo(16_384);
    assertThat(next.reserved().milliProcessors()).isBetween(4_000L, 4_500L);
  }

  /**
   * Guards against work that never completes when declared run times are misleading: all of a mix
   * of long and short work completes.
   */
  @Test
  void mixedLongAndShortWorkCompletes() {
    SimulatedLoad load =
        new SimulatedLoad(
            SchedulerFixtures.scheduler(4, "north", "south"),
            task -> task.taskId().key().team().equals("north") ? 20 : 4_000);
    for (int i = 0; i < 300; i++) {
      load.submit(SchedulerFixtures.request("north", "short" + i, load.now(), load.now() + 10_000));
      if (i % 10 == 0) {
        load.submit(
            SchedulerFixtures.item(
                "south", "long" + i, WorkClass.BATCH, SchedulerFixtures.SMALL, 2));
      }
      load.run(50);
    }
    load.run(20_000);

    assertThat(load.completed()).isEqualTo(360);
    assertThat(load.refusals()).isEqualTo(List.<Refusal>of());
  }
}
