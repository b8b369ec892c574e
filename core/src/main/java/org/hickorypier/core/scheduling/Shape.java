package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;

/**
 * One size of urgent or other task among the queued work, shared by all items of that size.
 *
 * <p>Made for saturation, when hundreds of queue heads wait and each freed slot starts one of them:
 * that a size fits nowhere is found out once and remembered, not looked up again for each head.
 *
 * <p>Not thread safe.
 */
final class Shape {

  private final Resources resources;
  private final boolean urgent;
  private boolean blocked;
  private int queuedItems;

  Shape(Resources resources, boolean urgent) {
    this.resources = resources;
    this.urgent = urgent;
  }

  Resources resources() {
    return resources;
  }

  /** Tells whether this is the size of urgent work, which may use the room kept free for it. */
  boolean isUrgent() {
    return urgent;
  }

  /** Tells whether no worker has room for this size, as far as is known. */
  boolean isBlocked() {
    return blocked;
  }

  void setBlocked(boolean blocked) {
    this.blocked = blocked;
  }

  void itemQueued() {
    queuedItems++;
  }

  void itemRemoved() {
    queuedItems--;
  }

  boolean isUnused() {
    return queuedItems == 0;
  }
}
