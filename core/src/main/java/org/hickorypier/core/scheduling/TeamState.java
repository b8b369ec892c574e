package org.hickorypier.core.scheduling;

import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkKey;

/**
 * A team's queues, permits and use.
 *
 * <p>Invariant: the use is the sum over the team's placed tasks. Not thread safe.
 */
final class TeamState {

  private static final double DEFAULT_SHARE = 1.0;

  private final String name;
  private final Map<WorkClass, LinkedHashMap<WorkKey, QueuedItem>> queues =
      new EnumMap<>(WorkClass.class);
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
      queues.put(workClass, new LinkedHashMap<>());
    }
  }

  String name() {
    return name;
  }

  Collection<QueuedItem> queue(WorkClass workClass) {
    return queues.get(workClass).values();
  }

  void enqueue(QueuedItem queued) {
    queues.get(queued.item().workClass()).put(queued.item().key(), queued);
    waitingTasks += queued.waitingTasks();
    queued.shape().itemQueued();
    markWorthTrying();
  }

  void dequeue(QueuedItem queued) {
    queues.get(queued.item().workClass()).remove(queued.item().key());
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

  void taskLeftQueue() {
    waitingTasks--;
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

  void taskPlaced(Resources reserved) {
    placedTasks++;
    used = used.plus(reserved);
  }

  void taskEnded(Resources reserved) {
    placedTasks--;
    used = used.minus(reserved);
    markWorthTrying();
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
