package org.hickorypier.core.configuration;

/**
 * Whether an instance or worker is drained.
 *
 * <p>Immutable.
 *
 * @param name the name of the instance or worker
 * @param revision counts its changes, from 1
 * @param draining whether it takes no new work
 * @param offset the offset of its last change
 */
public record Drain(String name, long revision, boolean draining, long offset) {}
