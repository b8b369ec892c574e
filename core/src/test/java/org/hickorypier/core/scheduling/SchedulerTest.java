package org.hickorypier.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.junit.jupiter.api.Test;

class SchedulerTest {

  private static List<PlacedTask> tasks(List<Placement> placements) {
    return placements.stream().flatMap(placement -> placement.tasks().stream()).toList();
  }

  @Test
  void requestIsPlacedOnceWithItsFirstAttempt() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north");
    scheduler.submit(SchedulerFixtures.request("north", "a"), 0);

    assertThat(tasks(scheduler.place(0)))
        .extracting(PlacedTask::taskId)
        .containsExactly(new TaskId(new WorkKey("north", "a"), 1, 0));
    assertThat(scheduler.place(1)).isEmpty();
  }

  @Test
  void resubmissionAfterFailureHasNextAttempt() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north");
    int attempt = 1;
    for (TaskEnd end : List.of(TaskEnd.NOT_STARTED, TaskEnd.LOST, TaskEnd.FAILED)) {
      scheduler.submit(SchedulerFixtures.request("north", "a"), 0);
      TaskId placed = tasks(scheduler.place(0)).get(0).taskId();
      assertThat(placed.attempt()).isEqualTo(attempt++);
      scheduler.taskEnded(placed, end, 0);
    }
  }

  @Test
  void cancelledQueuedAttemptIsNotCounted() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north");
    scheduler.submit(SchedulerFixtures.request("north", "a"), 0);
    scheduler.cancelQueued(new WorkKey("north", "a"));
    scheduler.submit(SchedulerFixtures.request("north", "a"), 0);

    assertThat(tasks(scheduler.place(0)).get(0).taskId().attempt()).isEqualTo(1);
  }

  @Test
  void teamWithoutPermitsWaitsWithExplanation() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1);
    scheduler.submit(SchedulerFixtures.request("north", "a"), 0);

    assertThat(scheduler.place(0)).isEmpty();
    assertThat(scheduler.waitingTasks("north")).isEqualTo(1);
    assertThat(scheduler.explain(new WorkKey("north", "a"), 7)).get().asString().contains("permit");
    scheduler.putPermits("north", 1);
    assertThat(scheduler.place(1)).hasSize(1);
  }

  @Test
  void workLargerThanAnyWorkerIsRefusedWithTheResource() {
    Scheduler scheduler = SchedulerFixtures.scheduler(2, "north");
    Resources huge = new Resources(1_000, 70_000, 0);
    WorkItem item = SchedulerFixtures.item("north", "a", WorkClass.BATCH, huge, 1);

    assertThat(scheduler.submit(item, 0))
        .get()
        .satisfies(refusal -> assertThat(refusal.reason()).isEqualTo(RefusalReason.NEVER_FITS))
        .satisfies(refusal -> assertThat(refusal.detail()).contains("memory", "70000", "65536"));
  }

  @Test
  void burstOfOneTeamFillsOnlyItsOwnQueue() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1);
    int limit = SchedulerSettings.defaults().queueLimit();
    for (int i = 0; i < limit; i++) {
      assertThat(scheduler.submit(SchedulerFixtures.request("north", "a" + i), 0)).isEmpty();
    }

    assertThat(scheduler.submit(SchedulerFixtures.request("north", "more"), 0))
        .map(Refusal::reason)
        .contains(RefusalReason.QUEUE_FULL);
    assertThat(scheduler.submit(SchedulerFixtures.request("south", "a"), 0)).isEmpty();
  }

  @Test
  void fullFleetIsDividedByShare() {
    Scheduler scheduler = SchedulerFixtures.scheduler(12, "north", "south");
    scheduler.putShare("north", 3);
    scheduler.submit(
        SchedulerFixtures.item("north", "a", WorkClass.BATCH, SchedulerFixtures.SMALL, 200), 0);
    scheduler.submit(
        SchedulerFixtures.item("south", "a", WorkClass.BATCH, SchedulerFixtures.SMALL, 200), 0);

    List<PlacedTask> placed = tasks(scheduler.place(0));

    assertThat(placed).hasSize(96);
    assertThat(placed.stream().filter(task -> task.taskId().key().team().equals("north")).count())
        .isEqualTo(72);
  }

  @Test
  void remoteUsageCountsInFairOrder() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north", "south");
    scheduler.putRemoteUsage("north", new Resources(16_000, 0, 0));
    scheduler.submit(
        SchedulerFixtures.item("north", "a", WorkClass.BATCH, SchedulerFixtures.SMALL, 8), 0);
    scheduler.submit(
        SchedulerFixtures.item("south", "a", WorkClass.BATCH, SchedulerFixtures.SMALL, 8), 0);

    assertThat(tasks(scheduler.place(0)))
        .allMatch(task -> task.taskId().key().team().equals("south"));
  }

  /**
   * Guards against a team exceeding its share between digests. Every instance sees that north is
   * behind; if each gave it all free slots until the next digest, north would get many times its
   * share. Usage gained here therefore counts as gained at the other instances too, so south is
   * next after one task rather than two.
   */
  @Test
  void remoteUsageEstimateFollowsLocalUsage() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north", "south");
    scheduler.submit(SchedulerFixtures.request("north", "first"), 0);
    scheduler.place(0);
    scheduler.putRemoteUsage("north", new Resources(2_000, 0, 0));
    scheduler.putRemoteUsage("south", new Resources(4_000, 0, 0));
    for (int i = 0; i < 3; i++) {
      scheduler.submit(SchedulerFixtures.request("north", "n" + i), 0);
      scheduler.submit(SchedulerFixtures.request("south", "s" + i), 0);
    }

    assertThat(tasks(scheduler.place(0)))
        .extracting(task -> task.taskId().key().team())
        .startsWith("north", "south");
  }

  /**
   * Guards against the loss of the remote usage estimate while digests of other instances arrive
   * one by one. A second digest with unchanged usage for north shortly after the first must not
   * discard what north has gained since the first.
   */
  @Test
  void laterDigestKeepsRemoteUsageEstimate() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north", "south");
    scheduler.submit(SchedulerFixtures.request("north", "first"), 0);
    scheduler.place(0);
    scheduler.putRemoteUsage("north", new Resources(2_000, 0, 0));
    scheduler.putRemoteUsage("south", new Resources(4_000, 0, 0));
    scheduler.submit(SchedulerFixtures.request("north", "n0"), 100);
    scheduler.place(100);
    scheduler.putRemoteUsage("north", new Resources(2_000, 0, 0));
    scheduler.submit(SchedulerFixtures.request("north", "n1"), 100);
    scheduler.submit(SchedulerFixtures.request("south", "s0"), 100);

    assertThat(tasks(scheduler.place(100)))
        .extracting(task -> task.taskId().key().team())
        .startsWith("south");
  }

  @Test
  void gangStartsAllTasksOrNone() {
    Scheduler scheduler = SchedulerFixtures.scheduler(2, "north");
    scheduler.submit(
        SchedulerFixtures.item("north", "gang", WorkClass.GANG, SchedulerFixtures.SMALL, 17), 0);
    assertThat(scheduler.place(0)).isEmpty();
    assertThat(scheduler.workers()).allMatch(worker -> worker.freeSlots() == 8);

    scheduler.putWorker(SchedulerFixtures.worker(9), true);
    assertThat(tasks(scheduler.place(100))).hasSize(17);
  }

  @Test
  void serviceSpreadsOverDataCentresAndRacks() {
    Scheduler scheduler = SchedulerFixtures.scheduler(48, "north");
    scheduler.submit(
        SchedulerFixtures.item("north", "web", WorkClass.SERVICE, SchedulerFixtures.SMALL, 4), 0);

    Set<String> racks = new HashSet<>();
    tasks(scheduler.place(0)).forEach(task -> racks.add(task.worker().replace("worker-", "")));
    assertThat(racks.stream().map(Integer::parseInt).map(number -> number / 24).distinct())
        .hasSize(2);
    assertThat(racks.stream().map(Integer::parseInt).map(number -> number / 6).distinct())
        .hasSize(4);
  }

  @Test
  void adoptedTaskCountsUntilItEnds() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north");
    TaskId adopted = new TaskId(new WorkKey("north", "old"), 4, 0);
    scheduler.adopt(adopted, "worker-0", WorkClass.REQUEST, SchedulerFixtures.CAPACITY, 0);
    scheduler.submit(SchedulerFixtures.request("north", "a"), 0);
    assertThat(scheduler.place(0)).isEmpty();

    scheduler.taskEnded(adopted, TaskEnd.LOST, 1);
    assertThat(scheduler.place(1)).hasSize(1);
    scheduler.submit(SchedulerFixtures.request("north", "old"), 1);
    assertThat(tasks(scheduler.place(1)).get(0).taskId().attempt()).isEqualTo(5);
  }

  @Test
  void workThatFailedOnThreeWorkersIsRefused() {
    Scheduler scheduler = SchedulerFixtures.scheduler(30, "north");
    for (int i = 0; i < 3; i++) {
      assertThat(scheduler.submit(SchedulerFixtures.request("north", "bad"), i)).isEmpty();
      scheduler.taskEnded(tasks(scheduler.place(i)).get(0).taskId(), TaskEnd.FAILED, i);
    }

    assertThat(scheduler.submit(SchedulerFixtures.request("north", "bad"), 4))
        .map(Refusal::reason)
        .contains(RefusalReason.FAILS_EVERYWHERE);
  }

  @Test
  void closedWorkerGetsNoNewTasksAndKeepsItsOwn() {
    Scheduler scheduler = SchedulerFixtures.scheduler(1, "north");
    scheduler.submit(SchedulerFixtures.request("north", "a"), 0);
    scheduler.place(0);
    scheduler.putWorker(SchedulerFixtures.worker(0), false);
    scheduler.submit(SchedulerFixtures.request("north", "b"), 0);

    assertThat(scheduler.place(1)).isEmpty();
    assertThat(scheduler.placed()).hasSize(1);
  }

  @Test
  void outOfRangeSettingErrorNamesValueAndRange() {
    assertThatThrownBy(() -> SchedulerSettings.defaults().withQueueLimit(0))
        .hasMessage("queueLimit is 0, allowed is 1 to 1000000");
  }
}
