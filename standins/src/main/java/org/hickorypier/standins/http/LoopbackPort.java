package org.hickorypier.standins.http;

import java.io.IOException;
import java.net.ServerSocket;

/** Finds ports for processes that must know theirs before they listen. Stateless. */
public final class LoopbackPort {

  private LoopbackPort() {}

  /**
   * Finds a port that nobody listens on.
   *
   * @return the port
   * @throws IOException if there is none
   */
  public static int free() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
