package org.hickorypier.standins.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * Stands between a client and a server of ours as a box that loses track of connections: it passes
 * bytes on until told to go silent, and then holds every connection of that time open without
 * another byte either way. Connections opened later work.
 */
final class SilentServer implements AutoCloseable {

  /** One connection through the box. */
  private static final class Passage {

    private final Socket client;
    private final Socket server;
    private volatile boolean silent;

    private Passage(Socket client, Socket server) {
      this.client = client;
      this.server = server;
    }

    private void pump(Socket from, Socket to) {
      try (InputStream input = from.getInputStream()) {
        byte[] buffer = new byte[8_192];
        for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
          if (!silent) {
            to.getOutputStream().write(buffer, 0, count);
          }
        }
      } catch (IOException error) {
        // The other end has closed: so does this one, unless the box has lost track of both.
      }
      if (!silent) {
        closeQuietly(to);
      }
    }
  }

  private final ServerSocket listener;
  private final ServiceAddress behind;
  private final List<Passage> passages = Collections.synchronizedList(new ArrayList<>());

  SilentServer(ServiceAddress behind) throws IOException {
    this.behind = behind;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  ServiceAddress address() {
    return new ServiceAddress("127.0.0.1", listener.getLocalPort());
  }

  /** Counts the connections opened so far. */
  int connections() {
    return passages.size();
  }

  /** Makes every present connection silent for good. */
  void loseTrack() {
    List.copyOf(passages).forEach(passage -> passage.silent = true);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Passage passage : List.copyOf(passages)) {
      closeQuietly(passage.client);
      closeQuietly(passage.server);
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket client = listener.accept();
        Socket server = new Socket(behind.host(), behind.port());
        Passage passage = new Passage(client, server);
        passages.add(passage);
        start(() -> passage.pump(client, server));
        start(() -> passage.pump(server, client));
      }
    } catch (IOException error) {
      // Closed by the test.
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "silent-server");
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException error) {
      throw new UncheckedIOException(error);
    }
  }
}
