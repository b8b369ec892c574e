package org.hickorypier.core.preemption;

/**
 * The free capacity of a worker on which tasks of the step may run.
 *
 * <p>Immutable.
 *
 * @param worker the worker's id
 * @param free its free capacity
 * @param maxTasks how many more tasks of the step may run there, however much capacity is free
 */
public record WorkerRoom(String worker, Room free, int maxTasks) {}
