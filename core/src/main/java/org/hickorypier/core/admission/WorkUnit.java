package org.hickorypier.core.admission;

import org.hickorypier.core.model.Resources;

/**
 * What is placed at once: a single task, or all members of a gang.
 *
 * <p>Immutable.
 *
 * @param count number of tasks that start together, at least 1
 * @param taskSize resources that one task reserves
 */
public record WorkUnit(int count, Resources taskSize) {

  /** Returns whether this unit fits wherever the other one fits. */
  boolean fitsWherever(WorkUnit other) {
    return count <= other.count && taskSize.fitsInto(other.taskSize);
  }
}
