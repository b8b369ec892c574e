package org.hickorypier.measure.delivery;

/**
 * Which instance is dead.
 *
 * <p>Immutable.
 *
 * @param dead the instance, or {@link #NOBODY}
 * @param noticed whether the others have noticed and rebuilt what they keep
 */
record Health(int dead, boolean noticed) {

  static final int NOBODY = -1;
  static final Health ALL_WELL = new Health(NOBODY, true);

  boolean isDead(int instance) {
    return instance == dead;
  }
}
