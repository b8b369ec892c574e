package org.hickorypier.measure.soak;

/**
 * One disturbance of a soak.
 *
 * <p>Immutable.
 *
 * @param atMillis when it begins, from the start of the load
 * @param kind what it is
 * @param target which instance, worker or data centre it strikes, from 0; taken modulo their number
 * @param lengthMillis how long it lasts
 */
record Disturbance(long atMillis, DisturbanceKind kind, int target, long lengthMillis) {

  @Override
  public String toString() {
    return atMillis + " ms: " + kind + " of " + target + " for " + lengthMillis + " ms";
  }
}
