package org.hickorypier.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.model.WorkerDescription;

/**
 * Makes workers and unlike work from a seed.
 *
 * <p>Workers are those of the brief: 16 processors, 64 GB, 8 slots, six to a rack. Of a hundred
 * items 10 are urgent, 60 requests, 22 batches of one to six tasks, 3 services, 5 gangs of two to
 * four. A few teams send most. Run times are exponential around a second; what is declared is off
 * by a factor between a half and two.
 *
 * <p>Not thread safe.
 */
final class WorkMix {

  static final double MEAN_RUN_MILLIS = 1_000;

  private static final int WORKERS_PER_RACK = 6;
  private static final int RACKS_PER_DATA_CENTRE = 44;
  private static final int SLOTS = 8;
  private static final Resources CAPACITY = new Resources(16_000, 65_536, 0);
  private static final long URGENT_DEADLINE_MILLIS = 4_600;
  private static final long REQUEST_DEADLINE_MILLIS = 10_000;
  private static final long JOB_DEADLINE_MILLIS = 600_000;

  private final SplittableRandom random;
  private final int teams;
  private final double sizeFactor;
  private long made;

  /**
   * Creates a mix.
   *
   * @param seed the seed
   * @param teams how many teams send work
   * @param sizeFactor multiplies the sizes of tasks
   */
  WorkMix(long seed, int teams, double sizeFactor) {
    this.random = new SplittableRandom(seed);
    this.teams = teams;
    this.sizeFactor = sizeFactor;
  }

  static String team(int number) {
    return "team-" + number;
  }

  static List<WorkerDescription> workers(int count) {
    List<WorkerDescription> workers = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int rack = i / WORKERS_PER_RACK;
      String dataCentre = "centre-" + rack / RACKS_PER_DATA_CENTRE;
      workers.add(
          new WorkerDescription("worker-" + i, dataCentre, "rack-" + rack, CAPACITY, SLOTS));
    }
    return workers;
  }

  WorkItem next(long now) {
    int pick = random.nextInt(100);
    if (pick < 10) {
      return item(WorkClass.URGENT, 1, now, URGENT_DEADLINE_MILLIS);
    }
    if (pick < 70) {
      return item(WorkClass.REQUEST, 1, now, REQUEST_DEADLINE_MILLIS);
    }
    if (pick < 92) {
      return item(WorkClass.BATCH, 1 + random.nextInt(6), now, JOB_DEADLINE_MILLIS);
    }
    if (pick < 95) {
      return item(WorkClass.SERVICE, 1 + random.nextInt(3), now, JOB_DEADLINE_MILLIS);
    }
    return item(WorkClass.GANG, 2 + random.nextInt(3), now, JOB_DEADLINE_MILLIS);
  }

  WorkItem item(WorkClass workClass, int tasks, long now, long deadlineMillis) {
    WorkKey key = new WorkKey(team(skewed(teams)), "id-" + made++);
    String name = "sort-" + random.nextInt(5);
    long expected = (long) (MEAN_RUN_MILLIS * Math.pow(2, random.nextDouble(-1, 1)));
    return new WorkItem(
        key, workClass, name, size(), tasks, true, now, now + deadlineMillis, expected);
  }

  /** Returns a size: mostly small, some of four processors, with unlike memory for each. */
  Resources size() {
    long milliProcessors = 500L * (1 + random.nextInt(random.nextInt(4) == 0 ? 8 : 4));
    long memory = 1_024L * (1 + random.nextInt(random.nextInt(4) == 0 ? 16 : 8));
    return new Resources((long) (milliProcessors * sizeFactor), (long) (memory * sizeFactor), 0);
  }

  long runMillis() {
    return Math.max(1, Math.round(exponential(MEAN_RUN_MILLIS)));
  }

  double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  int below(int bound) {
    return random.nextInt(bound);
  }

  private int skewed(int bound) {
    double u = random.nextDouble();
    return (int) (bound * u * u);
  }
}
