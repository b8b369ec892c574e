package org.hickorypier.core.scheduling;

import java.util.EnumMap;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/**
 * A team's queues, permits and resource use.
 *
 * <p>Invariant: the use is the sum over the team's placed tasks. Not thread-safe.
 */
final class TeamState {

  private static final double DEFAULT_WEIGHT = 1.0;

  /**
   * The maximum growth assumed for use elsewhere. It keeps a team that grows from a single local
   * task from appearing to take the whole fleet. Values from 1.5 to 8 make little difference.
   */
  private static final double MAX_USE_CHANGE_FACTOR = 1.5;

  /**
   * The local use is sampled at this interval for comparison with the digests, so the sample is up
   * to this old. The digests of the other instances arrive one by one, each once per second, so at
   * any moment most of their content is older than the latest digest.
   */
  private static final long USE_SAMPLE_INTERVAL_MILLIS = 900;

  private final String name;
  private final Map<WorkClass, ClassQueue> queues = new EnumMap<>(WorkClass.class);
  private double weight = DEFAULT_WEIGHT;
  private int permits;
  private int placedTasks;
  private int waitingTasks;
  private Resources used = Resources.NONE;
  private Resources usedElsewhere = Resources.NONE;
  private Resources usedAtDigest = Resources.NONE;
  private long usedAtDigestMillis = Long.MIN_VALUE / 2;
  private double weightedShare;
  private final ClassRotation classRotation = new ClassRotation();
  private boolean urgentExhausted;
  private boolean otherExhausted;

  TeamState(String name) {
    this.name = name;
    for (WorkClass workClass : WorkClass.values()) {
      queues.put(workClass, new ClassQueue());
    }
  }

  String name() {
    return name;
  }

  ClassQueue queue(WorkClass workClass) {
    return queues.get(workClass);
  }

  /** Returns the rate at which tasks of the team start over all classes, per second. */
  double drainRatePerSecond(long now) {
    double sum = 0;
    for (ClassQueue queue : queues.values()) {
      sum += queue.drainRatePerSecond(now);
    }
    return sum;
  }

  void enqueue(QueuedItem queued) {
    queue(queued.item().workClass()).add(queued);
    waitingTasks += queued.waitingTasks();
    queued.shape().itemQueued();
    clearExhausted();
  }

  void dequeue(QueuedItem queued) {
    queue(queued.item().workClass()).remove(queued);
    waitingTasks -= queued.waitingTasks();
    queued.shape().itemRemoved();
    queued.markRemoved();
    clearExhausted();
  }

  ClassRotation classRotation() {
    return classRotation;
  }

  int waitingTasks() {
    return waitingTasks;
  }

  boolean hasWaiting() {
    return waitingTasks > 0;
  }

  void recordStart(QueuedItem queued, long now) {
    waitingTasks--;
    long waited = now - queued.item().submittedMillis();
    queue(queued.item().workClass())
        .recordStart(waited, queued.firstFailedPlacementMillis() <= now, now);
  }

  int freePermits() {
    return permits - placedTasks;
  }

  int permits() {
    return permits;
  }

  void setPermits(int newPermits) {
    permits = newPermits;
    clearExhausted();
  }

  void setWeight(double newWeight) {
    weight = newWeight;
  }

  Resources used() {
    return used;
  }

  int placedTasks() {
    return placedTasks;
  }

  void addPlacedTask(PlacedTask task) {
    placedTasks++;
    used = used.plus(task.reserved());
    queue(task.workClass()).incrementRunning();
  }

  void removePlacedTask(PlacedTask task) {
    placedTasks--;
    used = used.minus(task.reserved());
    queue(task.workClass()).decrementRunning();
    clearExhausted();
  }

  void resizePlacedTask(Resources before, Resources after) {
    used = used.minus(before).plus(after);
  }

  void setUsedElsewhere(Resources resources, long now) {
    usedElsewhere = resources;
    if (now - usedAtDigestMillis >= USE_SAMPLE_INTERVAL_MILLIS) {
      usedAtDigest = used;
      usedAtDigestMillis = now;
    }
  }

  /**
   * Recomputes the dominant share divided by the weight, which is the team's position in the fair
   * order.
   *
   * <p>The use elsewhere is as old as the latest digest. All instances see the same team behind its
   * share; each would give it their free slots until the next digest and then take them all back.
   * So the use elsewhere is assumed to have changed in the same proportion as the local use since
   * the digest.
   */
  void refreshWeightedShare(Resources total) {
    double here = used.dominantShare(total);
    double before = usedAtDigest.dominantShare(total);
    double change = before == 0 ? 1 : Math.min(MAX_USE_CHANGE_FACTOR, here / before);
    weightedShare = (here + usedElsewhere.dominantShare(total) * change) / weight;
  }

  double weightedShare() {
    return weightedShare;
  }

  /**
   * Tells whether a placement of all waiting work has failed since the last change that could help.
   *
   * @param urgent whether the question is about urgent work or about all other work
   * @return true if another attempt would be futile
   */
  boolean isExhausted(boolean urgent) {
    return urgent ? urgentExhausted : otherExhausted;
  }

  void markExhausted(boolean urgent) {
    if (urgent) {
      urgentExhausted = true;
    } else {
      otherExhausted = true;
    }
  }

  void clearExhausted() {
    urgentExhausted = false;
    otherExhausted = false;
  }
}
