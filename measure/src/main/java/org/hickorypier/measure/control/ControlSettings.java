package org.hickorypier.measure.control;

/**
 * One combination to measure.
 *
 * <p>Immutable.
 *
 * @param instances how many daemons
 * @param workers how many workers
 * @param seconds how long each phase is measured
 * @param perSecond requests a second in the phase under load
 */
record ControlSettings(int instances, int workers, int seconds, int perSecond) {}
