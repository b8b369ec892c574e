package org.hickorypier.core.scheduling;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;

class SchedulerPropertyTest {

  private static final int STEPS = 250;
  private static final int TEAMS = 4;
  private static final int WORKERS = 12;
  private static final long NO_HOLD_MILLIS = 3_600_000;

  /**
   * Guards against lost or duplicated work: every item runs once, is refused, is given up, or
   * waits. Arrivals, task ends of every kind, cancellations, usage reports, and lost and closed
   * workers come in random order. The reference model detects any step that violates capacity,
   * slots or permits.
   */
  @Property(seed = "5", tries = 400)
  void invariantsHoldAfterEveryStep(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SchedulerSettings settings =
        SchedulerSettings.defaults().withHoldAfterMillis(NO_HOLD_MILLIS).withUrgentReservePart(0);
    driveAndCheck(random, new CheckedScheduler(SchedulerFactory.create(settings, seed), true));
  }

  /**
   * Checks the same invariants with workers held for gangs. Holds leave capacity idle on purpose,
   * so the work-conserving check is off.
   */
  @Property(seed = "6", tries = 400)
  void invariantsHoldAfterEveryStepWithHolds(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SchedulerSettings settings = SchedulerSettings.defaults().withHoldAfterMillis(500);
    driveAndCheck(random, new CheckedScheduler(SchedulerFactory.create(settings, seed), false));
  }

  private static void driveAndCheck(SplittableRandom random, CheckedScheduler checked) {
    long now = 0;
    for (int i = 0; i < TEAMS; i++) {
      checked.putPermits("team-" + i, random.nextInt(40));
    }
    for (int i = 0; i < WORKERS; i++) {
      checked.putWorker(SchedulerFixtures.worker(i, capacity(random), 1 + random.nextInt(8)), true);
    }
    for (int step = 0; step < STEPS; step++) {
      now += random.nextInt(400);
      change(checked, random, step, now);
      checked.check();
    }
  }

  private static void change(
      CheckedScheduler checked, SplittableRandom random, int step, long now) {
    switch (random.nextInt(16)) {
      case 0, 1, 2, 3, 4 -> checked.submit(newItem(random, step, now), now);
      case 5, 6, 7 -> checked.place(now);
      case 8, 9, 10 -> endOne(checked, random, now);
      case 11 -> checked.expire(now);
      case 12 -> cancelOne(checked, random);
      case 13 -> reportOne(checked, random, now);
      case 14 -> changeWorker(checked, random);
      default -> resubmitOrPermits(checked, random, now);
    }
  }

  private static WorkItem newItem(SplittableRandom random, int step, long now) {
    WorkClass workClass = WorkClass.values()[random.nextInt(WorkClass.values().length)];
    int tasks = workClass.isSynchronous() ? 1 : 1 + random.nextInt(6);
    Resources each =
        new Resources(random.nextInt(6_000), random.nextInt(20_000), random.nextInt(4) / 3);
    WorkKey key = new WorkKey("team-" + random.nextInt(TEAMS), "id-" + step);
    long deadline = now + random.nextInt(20_000);
    return new WorkItem(
        key, workClass, "name-" + random.nextInt(3), each, tasks, true, now, deadline, 500);
  }

  private static void endOne(CheckedScheduler checked, SplittableRandom random, long now) {
    List<PlacedTask> live = checked.live();
    if (!live.isEmpty()) {
      TaskEnd end = TaskEnd.values()[random.nextInt(TaskEnd.values().length)];
      checked.end(live.get(random.nextInt(live.size())).taskId(), end, now);
    }
  }

  private static void cancelOne(CheckedScheduler checked, SplittableRandom random) {
    List<WorkItem> items = checked.resubmittable();
    if (!items.isEmpty()) {
      checked.cancel(items.get(random.nextInt(items.size())).key());
    }
  }

  private static void reportOne(CheckedScheduler checked, SplittableRandom random, long now) {
    List<PlacedTask> live = checked.live();
    if (!live.isEmpty()) {
      Resources used = new Resources(random.nextInt(16_000), random.nextInt(60_000), 0);
      checked.reportUsage(live.get(random.nextInt(live.size())).taskId(), used, now);
    }
  }

  private static void changeWorker(CheckedScheduler checked, SplittableRandom random) {
    List<String> names = checked.workerNames();
    if (names.size() > 2 && random.nextInt(3) == 0) {
      checked.removeWorker(names.get(random.nextInt(names.size())));
    } else {
      int number = 100 + random.nextInt(10);
      boolean isNew = !names.contains("worker-" + number);
      if (isNew) {
        checked.putWorker(SchedulerFixtures.worker(number), random.nextInt(4) > 0);
      }
    }
  }

  private static void resubmitOrPermits(
      CheckedScheduler checked, SplittableRandom random, long now) {
    List<WorkItem> items = checked.resubmittable();
    if (random.nextBoolean() && !items.isEmpty()) {
      checked.submit(items.get(random.nextInt(items.size())), now);
    } else {
      checked.putPermits("team-" + random.nextInt(TEAMS), random.nextInt(40));
    }
  }

  private static Resources capacity(SplittableRandom random) {
    return new Resources(
        4_000 + random.nextInt(30_000), 8_000 + random.nextInt(200_000), random.nextInt(3));
  }
}
