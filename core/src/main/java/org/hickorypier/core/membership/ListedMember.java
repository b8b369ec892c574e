package org.hickorypier.core.membership;

/**
 * An entry instance as the platform lists it.
 *
 * <p>Immutable.
 *
 * @param name the instance's name
 * @param leaving whether the platform reports that it is in graceful shutdown
 */
public record ListedMember(String name, boolean leaving) {}
