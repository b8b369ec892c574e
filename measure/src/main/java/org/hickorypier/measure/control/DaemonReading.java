package org.hickorypier.measure.control;

import java.util.SortedMap;

/**
 * What one daemon has spent so far.
 *
 * <p>Immutable.
 *
 * @param nanos when it was read
 * @param processorSeconds processor time of the process, user and system
 * @param residentBytes resident memory
 * @param counters the daemon's own counters by name
 * @param sockets its open connections
 */
record DaemonReading(
    long nanos,
    double processorSeconds,
    long residentBytes,
    SortedMap<String, Double> counters,
    SocketCounters sockets) {}
