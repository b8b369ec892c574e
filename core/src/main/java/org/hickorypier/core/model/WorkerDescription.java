package org.hickorypier.core.model;

/**
 * The capacity and location of a worker.
 *
 * <p>Immutable.
 *
 * @param name the worker's name
 * @param dataCentre the data centre of the worker
 * @param rack the rack of the worker
 * @param capacity its processors, memory and accelerators
 * @param slots maximum number of tasks that it runs at once
 */
public record WorkerDescription(
    String name, String dataCentre, String rack, Resources capacity, int slots) {}
