package org.hickorypier.daemon.node;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hickorypier.core.cell.CellTerms;
import org.hickorypier.daemon.owner.Strength;
import org.hickorypier.platform.http.HttpCalls;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * Starts an instance on loopback without a platform, calls it, and ends it.
 *
 * <p>The build runs it to write the archive of loaded classes, with which a restarted process is
 * ready in about half the time. Exit codes: 0 if the instance answered, 1 if not.
 */
public final class Rehearsal {

  private static final long MOST_SECONDS = 20;
  private static final int CALLS = 20;

  private Rehearsal() {}

  /**
   * Runs the rehearsal.
   *
   * @param arguments none
   * @throws IOException if no port is free
   * @throws InterruptedException if the runtime ends first
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    NodeSettings settings = settings();
    NodeMain.Started started = NodeMain.start(settings, System::currentTimeMillis);
    CountDownLatch answered = new CountDownLatch(CALLS);
    HttpCalls calls = new HttpCalls(started.vertx(), 2);
    started.deployed().onSuccess(id -> call(calls, settings, answered, CALLS));
    boolean done = answered.await(MOST_SECONDS, TimeUnit.SECONDS);
    System.exit(done ? 0 : 1);
  }

  private static void call(
      HttpCalls calls, NodeSettings settings, CountDownLatch answered, int left) {
    if (left == 0) {
      return;
    }
    Buffer body = new JsonObject().put("Spec", "text").toBuffer();
    calls
        .call(settings.front(), HttpMethod.POST, "/queue/0", Map.of(), body, 1_000)
        .compose(reply -> calls.call(settings.ready(), HttpMethod.GET, "/", Map.of(), null, 1_000))
        .onComplete(
            done -> {
              answered.countDown();
              call(calls, settings, answered, left - 1);
            });
  }

  private static NodeSettings settings() throws IOException {
    String host = InetAddress.getLoopbackAddress().getHostAddress();
    ServiceAddress closed = new ServiceAddress(host, freePort());
    return new NodeSettings(
        "rehearsal",
        host,
        freePort(),
        closed,
        freePort(),
        new ServiceAddress(host, freePort()),
        new ServiceAddress(host, freePort()),
        closed,
        closed,
        CellTerms.of(6_000, 3_000, 60_000),
        Strength.UNKNOWN,
        5_000,
        1_500,
        1_000);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
