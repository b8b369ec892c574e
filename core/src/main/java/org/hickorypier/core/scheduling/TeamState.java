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

  private static final double DEFAULT_SHARE = 1.0;

  private final String name;
  private final Map<WorkClass, ClassQueue> queues = new EnumMap<>(WorkClass.class);
  private double share = DEFAULT_SHARE;
  private int permits;
  private int placedTasks;
  private int waitingTasks;
  private Resources used = Resources.NONE;
  private Resources usedElsewhere = Resources.NONE;
  private double weightedShare;
  private boolean urgentExhausted;
  private boolean othersExhausted;

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
  double drainPerSecond(long now) {
    double sum = 0;
    for (ClassQueue queue : queues.values()) {
      sum += queue.drainPerSecond(now);
    }
    return sum;
  }

  void enqueue(QueuedItem queued) {
    queue(queued.item().workClass()).add(queued);
    waitingTasks += queued.waitingTasks();
    queued.shape().itemQueued();
    markWorthTrying();
  }

  void dequeue(QueuedItem queued) {
    queue(queued.item().workClass()).remove(queued);
    waitingTasks -= queued.waitingTasks();
    queued.shape().itemGone();
    queued.markGone();
    markWorthTrying();
  }

  int waitingTasks() {
    return waitingTasks;
  }

  boolean hasWaiting() {
    return waitingTasks > 0;
  }

  void taskStarted(WorkClass workClass, long now) {
    waitingTasks--;
    queue(workClass).taskStarted(now);
  }

  int freePermits() {
    return permits - placedTasks;
  }

  int permits() {
    return permits;
  }

  void setPermits(int newPermits) {
    permits = newPermits;
    markWorthTrying();
  }

  void setShare(double newShare) {
    share = newShare;
  }

  double share() {
    return share;
  }

  Resources used() {
    return used;
  }

  int placedTasks() {
    return placedTasks;
  }

  void taskPlaced(PlacedTask task) {
    placedTasks++;
    used = used.plus(task.reserved());
    queue(task.workClass()).taskRuns();
  }

  void taskEnded(PlacedTask task) {
    placedTasks--;
    used = used.minus(task.reserved());
    queue(task.workClass()).taskEnded();
    markWorthTrying();
  }

  void taskResized(Resources before, Resources after) {
    used = used.minus(before).plus(after);
  }

  void setUsedElsewhere(Resources resources) {
    usedElsewhere = resources;
  }

  /** Works out the dominant share over the weight; the team's place in the fair order. */
  void refreshWeightedShare(Resources total) {
    weightedShare = used.plus(usedElsewhere).dominantShare(total) / share;
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
    return urgent ? urgentExhausted : othersExhausted;
  }

  void markExhausted(boolean urgent) {
    if (urgent) {
      urgentExhausted = true;
    } else {
      othersExhausted = true;
    }
  }

  void markWorthTrying() {
    urgentExhausted = false;
    othersExhausted = false;
  }
}
