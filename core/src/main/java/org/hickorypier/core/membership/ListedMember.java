package org.hickorypier.core.membership;

/**
 * An entry instance as the platform lists it.
 *
 * <p>Immutable.
 *
 * @param name its name
 * @param leaving whether the platform says that it is in graceful shutdown
 */
public record ListedMember(String name, boolean leaving) {}
