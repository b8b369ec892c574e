package org.hickorypier.daemon.settings;

import java.util.Optional;

/**
 * The validated settings of a daemon. Immutable and thus thread-safe; {@link #toString} masks
 * secrets.
 *
 * @param name the name of this instance
 * @param dataCentre the data centre in which the instance runs
 * @param host the IP address to listen on
 * @param httpPort the port for callers and operators, or 0 for any free port
 * @param peerPort the port for the other instances, or 0 for any free port
 * @param logService the address of the log service
 * @param instanceList the address of the list of instances
 * @param peerSecret the shared secret by which instances authenticate each other
 * @param operatorKey the initial operator key, as {@code keyId.secret}
 * @param logLevel error, warning, info, debug or trace
 * @param leaseMillis the lease of a task on its worker, in milliseconds
 * @param renewalMillis the time between renewals, in milliseconds; at most half the lease
 * @param heartbeatMillis the time between heartbeats of a link, in milliseconds
 * @param peerTimeoutMillis the silence after which a link is closed, in milliseconds
 * @param digestMillis the time between digests to a peer, in milliseconds
 * @param freshnessMillis how long new work is accepted without evidence that the configuration is
 *     recent, in milliseconds
 * @param queueLimit the maximum number of queued items of one team and class
 * @param requestBytesLimit the maximum size of a request body, in bytes
 * @param deadlineDefaultMillis the deadline of a request without one, in milliseconds
 * @param eventLoops the number of threads that handle network traffic
 * @param shutdownMillis how long a graceful shutdown waits for requests in progress, in
 *     milliseconds
 * @param connectionsPerWorker the maximum number of connections to one worker
 */
public record DaemonSettings(
    String name,
    String dataCentre,
    String host,
    int httpPort,
    int peerPort,
    HostAndPort logService,
    HostAndPort instanceList,
    Secret peerSecret,
    Optional<Secret> operatorKey,
    String logLevel,
    long leaseMillis,
    long renewalMillis,
    long heartbeatMillis,
    long peerTimeoutMillis,
    long digestMillis,
    long freshnessMillis,
    int queueLimit,
    int requestBytesLimit,
    long deadlineDefaultMillis,
    int eventLoops,
    long shutdownMillis,
    int connectionsPerWorker) {

  /**
   * Returns a copy of the settings with other ports.
   *
   * @param otherHttpPort the port for callers and operators, or 0 to keep the present one
   * @param otherPeerPort the port for the other instances, or 0 to keep the present one
   * @return the copy
   */
  public DaemonSettings withPorts(int otherHttpPort, int otherPeerPort) {
    return new DaemonSettings(
        name,
        dataCentre,
        host,
        otherHttpPort == 0 ? httpPort : otherHttpPort,
        otherPeerPort == 0 ? peerPort : otherPeerPort,
        logService,
        instanceList,
        peerSecret,
        operatorKey,
        logLevel,
        leaseMillis,
        renewalMillis,
        heartbeatMillis,
        peerTimeoutMillis,
        digestMillis,
        freshnessMillis,
        queueLimit,
        requestBytesLimit,
        deadlineDefaultMillis,
        eventLoops,
        shutdownMillis,
        connectionsPerWorker);
  }
}
