package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkItem;

/**
 * An item in its team's queue, with the tasks that still wait.
 *
 * <p>Not thread safe.
 */
final class QueuedItem {

  private static final long NEVER = Long.MAX_VALUE / 2;

  private final WorkItem item;
  private final Shape shape;
  private final int attempt;
  private final long arrival;
  private int nextIndex;
  private long nextTryMillis = Long.MIN_VALUE;
  private long inVainSinceMillis = NEVER;
  private boolean gone;
  private boolean heldFor;

  QueuedItem(WorkItem item, Shape shape, int attempt, long arrival) {
    this.item = item;
    this.shape = shape;
    this.attempt = attempt;
    this.arrival = arrival;
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

  /** Returns its number in the order of arrival; no two queued items have the same. */
  long arrival() {
    return arrival;
  }

  int waitingTasks() {
    return item.tasks() - nextIndex;
  }

  boolean hasStarted() {
    return nextIndex > 0;
  }

  /** Tells whether the deadline has passed before any task started. */
  boolean isTooLate(long now) {
    return item.deadlineMillis() < now && !hasStarted();
  }

  int takeIndex() {
    return nextIndex++;
  }

  long nextTryMillis() {
    return nextTryMillis;
  }

  void tryAgainAt(long millis) {
    nextTryMillis = millis;
  }

  /** Returns when it was first tried in vain for want of room; far in the future if never. */
  long inVainSinceMillis() {
    return inVainSinceMillis;
  }

  void triedInVain(long now) {
    inVainSinceMillis = Math.min(inVainSinceMillis, now);
  }

  /** Tells whether workers are kept free for it. */
  boolean isHeldFor() {
    return heldFor;
  }

  void setHeldFor(boolean held) {
    heldFor = held;
  }

  boolean isGone() {
    return gone;
  }

  void markGone() {
    gone = true;
  }
}
