package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.model.WorkerDescription;

/** Creates work, workers and schedulers for tests. Thread-safe, since it holds no state. */
final class SchedulerFixtures {

  static final long RUN_MILLIS = 1_000;
  static final long FAR_DEADLINE_MILLIS = 1_000_000_000;
  static final Resources SMALL = new Resources(1_000, 1_024, 0);
  static final Resources CAPACITY = new Resources(16_000, 65_536, 0);

  private SchedulerFixtures() {}

  static WorkItem item(String team, String id, WorkClass workClass, Resources each, int tasks) {
    return new WorkItem(
        new WorkKey(team, id),
        workClass,
        "check",
        each,
        tasks,
        true,
        0,
        FAR_DEADLINE_MILLIS,
        RUN_MILLIS);
  }

  static WorkItem request(String team, String id) {
    return item(team, id, WorkClass.REQUEST, SMALL, 1);
  }

  static WorkItem request(String team, String id, long submitted, long deadline) {
    return new WorkItem(
        new WorkKey(team, id),
        WorkClass.REQUEST,
        "check",
        SMALL,
        1,
        true,
        submitted,
        deadline,
        RUN_MILLIS);
  }

  /** Returns a worker; numbers map to racks of six workers and data centres of four racks. */
  static WorkerDescription worker(int number) {
    return worker(number, CAPACITY, 8);
  }

  static WorkerDescription worker(int number, Resources capacity, int slots) {
    return new WorkerDescription(
        "worker-" + number, "centre-" + number / 24, "rack-" + number / 6, capacity, slots);
  }

  static Scheduler scheduler(int workers, String... teams) {
    Scheduler scheduler = SchedulerFactory.create(SchedulerSettings.defaults(), 1);
    for (int i = 0; i < workers; i++) {
      scheduler.putWorker(worker(i), true);
    }
    for (String team : teams) {
      scheduler.putPermits(team, 1_000);
    }
    return scheduler;
  }
}
