package org.hickorypier.core.configuration;

/**
 * The drain state of an instance or worker.
 *
 * <p>Immutable.
 *
 * @param name the name of the instance or worker
 * @param revision number of changes to the drain, from 1
 * @param draining whether the instance or worker accepts no new work
 * @param offset the offset of the last change
 */
public record Drain(String name, long revision, boolean draining, long offset) {}
