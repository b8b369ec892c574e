package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkItem;

/**
 * An item in its team's queue, with its tasks that still wait.
 *
 * <p>Not thread-safe.
 */
final class QueuedItem {

  private static final long NEVER = Long.MAX_VALUE / 2;

  private final WorkItem item;
  private final Shape shape;
  private final int attempt;
  private final long arrivalNumber;
  private int nextTaskIndex;
  private long nextTryMillis = Long.MIN_VALUE;
  private long firstFailedPlacementMillis = NEVER;
  private boolean removed;
  private boolean hasHold;

  QueuedItem(WorkItem item, Shape shape, int attempt, long arrival) {
    this.item = item;
    this.shape = shape;
    this.attempt = attempt;
    this.arrivalNumber = arrival;
  }

  WorkItem item() {
    return item;
  }

  Shape shape() {
    return shape;
  }

  Resources need() {
    return shape.resources();
  }

  int attempt() {
    return attempt;
  }

  /** Returns its position in the order of arrival, which is unique among queued items. */
  long arrivalNumber() {
    return arrivalNumber;
  }

  int waitingTasks() {
    return item.tasks() - nextTaskIndex;
  }

  boolean hasStarted() {
    return nextTaskIndex > 0;
  }

  /** Tells whether the deadline passed before any task started. */
  boolean isExpired(long now) {
    return item.deadlineMillis() < now && !hasStarted();
  }

  int takeTaskIndex() {
    return nextTaskIndex++;
  }

  long nextTryMillis() {
    return nextTryMillis;
  }

  void setNextTryMillis(long millis) {
    nextTryMillis = millis;
  }

  /**
   * Returns when a placement first failed for lack of room, or a time far in the future if none
   * has.
   */
  long firstFailedPlacementMillis() {
    return firstFailedPlacementMillis;
  }

  void recordFailedPlacement(long now) {
    firstFailedPlacementMillis = Math.min(firstFailedPlacementMillis, now);
  }

  /** Tells whether workers are held free for this item. */
  boolean hasHold() {
    return hasHold;
  }

  void setHasHold(boolean held) {
    hasHold = held;
  }

  boolean isRemoved() {
    return removed;
  }

  void markRemoved() {
    removed = true;
  }
}
