package org.hickorypier.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.stream.IntStream;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.Scheduler;

/**
 * A full fleet under eight instances. Each team's callers stick to four of them. Instances hear of
 * each other's use once a second; one is lost half-way, and the others take its workers and its
 * running tasks over.
 *
 * <p>Weights are 1, 2 and 3 in turn. Not thread safe.
 */
final class FairnessLoad {

  static final int SECONDS = 60;

  private static final int INSTANCES = 8;
  private static final int ENTRIES = 4;
  private static final int BACKLOG = 12;
  private static final int WARM_UP_SECONDS = 10;
  private static final long STEP_MILLIS = 5;
  private static final long SECOND_MILLIS = 1_000;
  private static final long DIGEST_SHIFT_MILLIS = SECOND_MILLIS / INSTANCES;
  private static final long FAR_MILLIS = 1_000_000_000;

  /** The distances from the entitled share, as parts of what all use. */
  record Distances(double meanOverRun, double worstSecond) {}

  private record End(long atMillis, int instance, PlacedTask task) {}

  private final boolean plain;
  private final int teams;
  private final WorkMix mix;
  private final List<List<WorkerDescription>> workersOf = new ArrayList<>();
  private final List<Decider> deciders = new ArrayList<>();
  private final List<Map<TaskId, PlacedTask>> runningOf = new ArrayList<>();
  private final Map<TaskId, Integer> movedTo = new HashMap<>();
  private final Resources[][] digests;
  private final int[][] waiting;
  private final boolean[] gone = new boolean[INSTANCES];
  private final PriorityQueue<End> ends =
      new PriorityQueue<>(Comparator.comparingLong(End::atMillis));
  private final double[] sumOfShares;
  private double worstSecond;
  private int samples;

  FairnessLoad(int workers, int teams, long seed, boolean plain) {
    this.plain = plain;
    this.teams = teams;
    mix = new WorkMix(seed, 1, 1);
    digests = new Resources[INSTANCES][teams];
    for (Resources[] digest : digests) {
      Arrays.fill(digest, Resources.NONE);
    }
    waiting = new int[INSTANCES][teams];
    sumOfShares = new double[teams];
    List<WorkerDescription> all = WorkMix.workers(workers);
    for (int i = 0; i < INSTANCES; i++) {
      int instance = i;
      List<WorkerDescription> own =
          IntStream.range(0, workers)
              .filter(number -> number % INSTANCES == instance)
              .mapToObj(all::get)
              .toList();
      workersOf.add(own);
      runningOf.add(new HashMap<>());
      deciders.add(plain ? new PlainDecider(own) : scheduler(own, seed + i));
    }
  }

  Distances run() {
    long end = (WARM_UP_SECONDS + SECONDS) * SECOND_MILLIS;
    for (long now = 0; now < end; now += STEP_MILLIS) {
      endTasks(now);
      if (now == (WARM_UP_SECONDS + SECONDS / 2) * SECOND_MILLIS && !plain) {
        loseLast(now);
      }
      for (int i = 0; i < INSTANCES; i++) {
        offer(i, now);
      }
      exchangeDigests(now);
      if (now % SECOND_MILLIS == 0) {
        sample(now);
      }
    }
    double mean = 0;
    for (int team = 0; team < teams; team++) {
      mean = Math.max(mean, Math.abs(sumOfShares[team] / samples - entitled(team)));
    }
    return new Distances(mean, worstSecond);
  }

  private Decider scheduler(List<WorkerDescription> own, long seed) {
    SchedulerDecider decider = new SchedulerDecider(own, teams, seed);
    for (int team = 0; team < teams; team++) {
      decider.scheduler().putShare(WorkMix.team(team), weight(team));
    }
    return decider;
  }

  private static double weight(int team) {
    return 1 + team % 3;
  }

  private double entitled(int team) {
    return weight(team) / IntStream.range(0, teams).mapToDouble(FairnessLoad::weight).sum();
  }

  private boolean entersAt(int team, int instance) {
    return Math.floorMod(instance - team * 3, INSTANCES) < ENTRIES;
  }

  private void endTasks(long now) {
    while (!ends.isEmpty() && ends.peek().atMillis() <= now) {
      End end = ends.poll();
      TaskId id = end.task().taskId();
      int instance = movedTo.getOrDefault(id, end.instance());
      movedTo.remove(id);
      runningOf.get(instance).remove(id);
      deciders.get(instance).ended(id, now);
    }
  }

  private void offer(int instance, long now) {
    if (gone[instance]) {
      return;
    }
    Decider decider = deciders.get(instance);
    for (int team = 0; team < teams; team++) {
      boolean lostEntry = gone[INSTANCES - 1] && entersAt(team, INSTANCES - 1);
      boolean enters = entersAt(team, instance) || lostEntry && instance == team % 7;
      while (enters && waiting[instance][team] < BACKLOG) {
        WorkItem made = mix.item(WorkClass.BATCH, 1, now, FAR_MILLIS);
        decider.submit(ofTeam(made, team), now);
        waiting[instance][team]++;
      }
    }
    for (PlacedTask task : decider.place(now)) {
      runningOf.get(instance).put(task.taskId(), task);
      waiting[instance][teamOf(task)]--;
      ends.add(new End(now + mix.runMillis(), instance, task));
    }
  }

  private static WorkItem ofTeam(WorkItem item, int team) {
    return new WorkItem(
        new org.hickorypier.core.model.WorkKey(WorkMix.team(team), item.key().requestId()),
        item.workClass(),
        item.name(),
        item.resources(),
        item.tasks(),
        item.idempotent(),
        item.submittedMillis(),
        item.deadlineMillis(),
        item.expectedRunMillis());
  }

  private static int teamOf(PlacedTask task) {
    return Integer.parseInt(task.taskId().key().team().substring("team-".length()));
  }

  private void loseLast(long now) {
    int lost = INSTANCES - 1;
    gone[lost] = true;
    List<WorkerDescription> orphans = workersOf.get(lost);
    Map<String, Integer> newController = new HashMap<>();
    for (int i = 0; i < orphans.size(); i++) {
      int instance = i % lost;
      newController.put(orphans.get(i).name(), instance);
      schedulerAt(instance).putWorker(orphans.get(i), true);
    }
    for (PlacedTask task : runningOf.get(lost).values()) {
      int instance = newController.get(task.worker());
      movedTo.put(task.taskId(), instance);
      runningOf.get(instance).put(task.taskId(), task);
      schedulerAt(instance)
          .adopt(task.taskId(), task.worker(), task.workClass(), task.reserved(), now);
    }
    runningOf.get(lost).clear();
  }

  /** Has each instance send its digest once a second, each at its own moment. */
  private void exchangeDigests(long now) {
    int from = (int) (now % SECOND_MILLIS / DIGEST_SHIFT_MILLIS);
    if (plain || now % DIGEST_SHIFT_MILLIS != 0) {
      return;
    }
    for (int team = 0; team < teams; team++) {
      digests[from][team] = used(from, team);
    }
    for (int to = 0; to < INSTANCES; to++) {
      for (int team = 0; team < teams && to != from && !gone[to]; team++) {
        Resources elsewhere = Resources.NONE;
        for (int other = 0; other < INSTANCES; other++) {
          elsewhere = other == to ? elsewhere : elsewhere.plus(digests[other][team]);
        }
        schedulerAt(to).putRemoteUsage(WorkMix.team(team), elsewhere);
      }
    }
  }

  private Scheduler schedulerAt(int instance) {
    return ((SchedulerDecider) deciders.get(instance)).scheduler();
  }

  private Resources used(int instance, int team) {
    Resources used = Resources.NONE;
    for (PlacedTask task : runningOf.get(instance).values()) {
      used = teamOf(task) == team ? used.plus(task.reserved()) : used;
    }
    return used;
  }

  private void sample(long now) {
    if (now < WARM_UP_SECONDS * SECOND_MILLIS) {
      return;
    }
    double[] shares = new double[teams];
    Resources total = Resources.NONE;
    for (WorkerDescription worker : workersOf.stream().flatMap(List::stream).toList()) {
      total = total.plus(worker.capacity());
    }
    double sum = 0;
    for (int team = 0; team < teams; team++) {
      Resources used = Resources.NONE;
      for (int i = 0; i < INSTANCES; i++) {
        used = used.plus(used(i, team));
      }
      shares[team] = used.dominantShare(total);
      sum += shares[team];
    }
    samples++;
    for (int team = 0; team < teams; team++) {
      sumOfShares[team] += shares[team] / sum;
      worstSecond = Math.max(worstSecond, Math.abs(shares[team] / sum - entitled(team)));
    }
  }
}
