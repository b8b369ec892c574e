package org.hickorypier.core.model;

/**
 * What a worker offers and where it stands.
 *
 * <p>Immutable.
 *
 * @param name the worker's name
 * @param dataCentre the data centre it stands in
 * @param rack the rack it stands in
 * @param capacity its processors, memory and accelerators
 * @param slots how many tasks it runs at once at the most
 */
public record WorkerDescription(
    String name, String dataCentre, String rack, Resources capacity, int slots) {}
