package org.hickorypier.core.fairness;

/**
 * What a customer uses of a cell at a moment.
 *
 * <p>Immutable.
 *
 * @param weight its configured weight; one that is not positive counts as the smallest weight
 * @param dominantShare the largest of the parts that it uses of any resource, from 0 to 1
 * @param waiting whether it has tasks that wait for room
 */
public record CustomerUse(double weight, double dominantShare, boolean waiting) {

  private static final double MIN_WEIGHT = 1e-3;

  /** Replaces a weight that is not positive, so that shares can always be computed. */
  public CustomerUse {
    weight = weight > 0 ? weight : MIN_WEIGHT;
  }
}
