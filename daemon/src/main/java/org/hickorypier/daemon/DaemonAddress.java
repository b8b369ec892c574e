package org.hickorypier.daemon;

/**
 * Where a daemon listens. Immutable.
 *
 * @param name the instance's name
 * @param host the IP number
 * @param httpPort the port for callers and operators
 * @param peerPort the port for the other instances
 */
public record DaemonAddress(String name, String host, int httpPort, int peerPort) {

  @Override
  public String toString() {
    return String.format("%s http %s:%d peer %s:%d", name, host, httpPort, host, peerPort);
  }
}
