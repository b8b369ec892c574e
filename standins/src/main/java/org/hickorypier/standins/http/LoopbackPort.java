package org.hickorypier.standins.http;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds ports for processes that must know theirs before they listen.
 *
 * <p>Invariant: no port is returned twice, since a port that is not in use yet would be found free
 * again. Thread-safe.
 */
public final class LoopbackPort {

  private static final int LOWEST = 20_000;

  /** From here on the system gives ports to outgoing connections, which may take a free one. */
  private static final int EPHEMERAL = 32_768;

  private static final int MOST_TRIES = 100;

  private static final Set<Integer> RETURNED = ConcurrentHashMap.newKeySet();

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
      if (!RETURNED.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port)) {
        return socket.getLocalPort();
      } catch (BindException taken) {
        last = taken;
      }
    }
    throw last == null ? new BindException("all ports were returned before") : last;
  }
}
