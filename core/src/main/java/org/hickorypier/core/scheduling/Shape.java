package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;

/**
 * One task size among the queued work, shared by all items of that size; urgent work has its own.
 *
 * <p>At saturation hundreds of queue heads wait and each freed slot starts one of them. The shape
 * records that its size fits on no worker, so that this is not looked up again for each head.
 *
 * <p>Confined to the control thread.
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

  /** Returns whether this is a size of urgent work, which may use the resources reserved for it. */
  boolean isUrgent() {
    return urgent;
  }

  /** Returns whether this size is known to fit on no worker. */
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
