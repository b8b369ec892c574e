package org.hickorypier.core.configuration;

/**
 * A team as configured.
 *
 * <p>Immutable.
 *
 * @param name its name
 * @param revision counts its changes, from 1
 * @param share its weight when the cell is full
 * @param upperLimit the most tasks it may run across the fleet
 */
public record Team(String name, long revision, double share, int upperLimit) {}
