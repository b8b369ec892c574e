package org.hickorypier.core.configuration;

/**
 * The configuration of a team.
 *
 * <p>Immutable.
 *
 * @param name the name of the team
 * @param revision number of changes to the team, from 1
 * @param share the weight of the team when the cell is at capacity
 * @param upperLimit maximum number of tasks that the team may run across all workers
 */
public record Team(String name, long revision, double share, int upperLimit) {}
