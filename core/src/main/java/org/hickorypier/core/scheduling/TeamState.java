package org.hickorypier.core.scheduling;

import java.util.EnumMap;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/**
 * A team's queues, permits and use.
 *
 * <p>Invariant: the use is the sum over the team's placed tasks. Not thread safe.
 */
final class TeamState {

  private static final double DEFAULT_WEIGHT = 1.0;

  /**
   * A team that starts from a single task here must not look as if it took the whole fleet. Tried
   * from 1.5 to 8, with little difference.
   */
  private static final double MAX_USE_CHANGE_FACTOR = 1.5;

  /**
   * The digests of the others come one by one, each once a second, so at any moment most of what
   * they say is older than the last one. The use here is compared with that of up to this long ago.
   */
  private static final long DIGEST_AGE_MILLIS = 900;

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

  /** Returns the tasks a second that the team gets started over all classes. */
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
    queued.shape().itemGone();
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

  void setWeight(double newShare) {
    weight = newShare;
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
    if (now - usedAtDigestMillis >= DIGEST_AGE_MILLIS) {
      usedAtDigest = used;
      usedAtDigestMillis = now;
    }
  }

  /**
   * Works out the dominant share over the weight; the team's place in the fair order.
   *
   * <p>What the team uses elsewhere is a digest old. All instances see the same team behind and
   * would all give it their places until the next digest, and then all take them away again. So the
   * use elsewhere is taken to have changed in the same proportion as the use here has since the
   * digest.
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
   * Tells whether all that waits was tried in vain since anything changed that could help.
   *
   * @param urgent whether urgent work is meant, else all other
   * @return true if there is no use in another try
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
