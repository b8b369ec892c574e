package org.hickorypier.cli.client;

/**
 * The address of one instance.
 *
 * <p>Immutable.
 *
 * @param host the host, an IP number or a name
 * @param port the port for operators
 */
public record ServerAddress(String host, int port) {

  @Override
  public String toString() {
    return host.indexOf(':') < 0 ? host + ":" + port : "[" + host + "]:" + port;
  }
}
