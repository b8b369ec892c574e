package org.hickorypier.daemon.settings;

/**
 * The address of a service. Immutable.
 *
 * @param host the host, an IP address or a name
 * @param port the port
 */
public record HostAndPort(String host, int port) {

  @Override
  public String toString() {
    return host.indexOf(':') < 0 ? host + ":" + port : "[" + host + "]:" + port;
  }
}
