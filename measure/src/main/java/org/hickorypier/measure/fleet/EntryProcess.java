package org.hickorypier.measure.fleet;

import org.hickorypier.platform.http.ServiceAddress;

/**
 * A running daemon.
 *
 * <p>Immutable.
 *
 * @param name the instance's name
 * @param process its process
 * @param http where it serves callers and operators
 * @param peer where it serves the other instances
 */
public record EntryProcess(
    String name, JavaProcess process, ServiceAddress http, ServiceAddress peer) {}
