package org.hickorypier.standins.http;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds ports for processes that must know theirs before they listen. Stateless. */
public final class LoopbackPort {

  private static final int LOWEST = 20_000;

  /** From here on the system gives ports to outgoing connections, which may take a free one. */
  private static final int EPHEMERAL = 32_768;

  private static final int MOST_TRIES = 100;

  private LoopbackPort() {}

  /**
   * Finds a port that nobody listens on.
   *
   * @return the port
   * @throws IOException if there is none
   */
  public static int free() throws IOException {
    IOException last = null;
    for (int tries = 0; tries < MOST_TRIES; tries++) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST, EPHEMERAL);
      try (ServerSocket socket = new ServerSocket(port)) {
        return socket.getLocalPort();
      } catch (BindException taken) {
        last = taken;
      }
    }
    throw last;
  }
}
