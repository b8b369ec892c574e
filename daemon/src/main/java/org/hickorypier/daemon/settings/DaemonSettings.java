package org.hickorypier.daemon.settings;

import java.util.Optional;

/**
 * The settings of one daemon, all checked.
 *
 * <p>Immutable, so safe to share between threads. Its text form masks secrets.
 *
 * @param name the name of this instance
 * @param dataCentre the data centre in which it runs
 * @param host the IP number to listen on
 * @param httpPort the port for callers and operators, 0 for a free one
 * @param peerPort the port for the other instances, 0 for a free one
 * @param logService the address of the log service
 * @param instanceList the address of the list of instances
 * @param peerSecret the secret by which instances know one another
 * @param operatorKey the operator's key to begin with, as {@code keyId.secret}
 * @param logLevel error, warning, info, debug or trace
 * @param leaseMillis the lease of a task on its worker
 * @param renewalMillis the time between renewals, at most half the lease
 * @param heartbeatMillis the time between heartbeats of a link
 * @param peerTimeoutMillis the silence after which a link is closed
 * @param digestMillis the time between digests to a peer
 * @param freshnessMillis how long new work is taken without a sign of a recent configuration
 * @param queueLimit the most items queued of one team and class
 * @param requestBytesLimit the largest body of a request
 * @param deadlineDefaultMillis the deadline of a request that names none
 * @param eventLoops the threads that carry traffic
 * @param shutdownMillis how long a graceful shutdown waits for requests in progress
 * @param connectionsPerWorker the most connections to one worker
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
   * Returns the same settings with other ports.
   *
   * @param otherHttpPort the port for callers and operators, 0 to leave it
   * @param otherPeerPort the port for the other instances, 0 to leave it
   * @return the settings
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
