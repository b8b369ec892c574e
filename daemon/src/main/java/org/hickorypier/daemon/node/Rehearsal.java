package org.hickorypier.daemon.node;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.ParseException;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.rehearsal.RehearsalPlatform;

/**
 * Starts two instances on loopback over a platform of its own, hands work in, and ends.
 *
 * <p>The build runs it to write the archive of loaded classes. A restarted process loads from it
 * all that an owner needs, down to the classes that the runtime makes for lambdas; without those of
 * an owner at work, the way from the first line to the first accepted submission took half as long
 * again. Exit codes: 0 if the work was done, 1 if not.
 */
public final class Rehearsal {

  private static final long MOST_SECONDS = 20;
  private static final int SUBMISSIONS = 20;
  private static final int POLLS = 200;
  private static final long POLL_MILLIS = 20;
  private static final long CALL_MILLIS = 3_000;
  private static final int OK = 200;
  private static final Map<String, String> HEADERS =
      Map.of(
          "Host", RehearsalPlatform.HOST, "Authorization", "Bearer " + RehearsalPlatform.API_KEY);

  private final PooledHttpClient calls;
  private final Vertx vertx;
  private final CountDownLatch done = new CountDownLatch(SUBMISSIONS);

  private Rehearsal(Vertx vertx) {
    this.vertx = vertx;
    this.calls = new PooledHttpClient(vertx, 2);
  }

  /**
   * Runs the rehearsal.
   *
   * @param arguments none
   * @throws IOException if no port is free, or the settings file cannot be written
   * @throws InterruptedException if the runtime ends first
   * @throws ParseException if the flags of an instance have changed
   * @throws SettingsFileException if the format of the settings has changed
   */
  public static void main(String[] arguments)
      throws IOException, InterruptedException, ParseException, SettingsFileException {
    Vertx platformVertx = Vertx.vertx();
    CountDownLatch listening = new CountDownLatch(1);
    Future<ServiceAddress> platform =
        new RehearsalPlatform(platformVertx).listen().onSuccess(address -> listening.countDown());
    boolean up = listening.await(MOST_SECONDS, TimeUnit.SECONDS);
    if (!up) {
      System.exit(1);
    }
    JsonObject written = settings("first", platform.result());
    final NodeSettings first = NodeSettings.decode(written);
    final NodeSettings second = NodeSettings.decode(settings("second", platform.result()));
    Path file = Files.createTempFile("rehearsal", ".json");
    Files.writeString(file, written.encode());
    NodeMain.Started started = NodeMain.startFromFlags(new String[] {"--settings=" + file});
    Files.delete(file);
    Rehearsal rehearsal = new Rehearsal(started.vertx());
    started
        .deployed()
        .compose(
            id ->
                started
                    .vertx()
                    .deployVerticle(new Node(second, started.log(), System::currentTimeMillis)))
        .onSuccess(id -> rehearsal.handIn(first, second, 0));
    boolean finished = rehearsal.done.await(MOST_SECONDS, TimeUnit.SECONDS);
    System.exit(finished ? 0 : 1);
  }

  private void handIn(NodeSettings first, NodeSettings second, int number) {
    if (number == SUBMISSIONS) {
      return;
    }
    NodeSettings to = number % 2 == 0 ? first : second;
    String path = RehearsalPlatform.QUEUE_PATH_PREFIX + "%016x".formatted(number);
    boolean cancelled = number % 5 == 4;
    submit(to, path, POLLS)
        .compose(none -> call(to.ready(), HttpMethod.GET, "/", null))
        .compose(
            none -> call(to.front(), HttpMethod.GET, RehearsalPlatform.QUEUE_PATH_PREFIX, null))
        .compose(
            none ->
                cancelled
                    ? call(to.front(), HttpMethod.DELETE, path, null)
                    : Future.succeededFuture(""))
        .onComplete(none -> awaitEnd(to, path, POLLS, () -> handIn(first, second, number + 1)));
  }

  /** Hands a submission in; again while there is no owner yet. */
  private Future<String> submit(NodeSettings to, String path, int tries) {
    return calls
        .call(
            to.front(),
            HttpMethod.POST,
            path,
            HEADERS,
            RehearsalPlatform.submissionBody(),
            CALL_MILLIS)
        .compose(
            reply ->
                reply.status() == OK || tries == 0
                    ? Future.succeededFuture("")
                    : pause().compose(over -> submit(to, path, tries - 1)));
  }

  private Future<Void> pause() {
    Promise<Void> over = Promise.promise();
    vertx.setTimer(POLL_MILLIS, id -> over.complete());
    return over.future();
  }

  private void awaitEnd(NodeSettings to, String path, int polls, Runnable next) {
    call(to.front(), HttpMethod.GET, path, null)
        .onSuccess(
            state -> {
              if (state.contains("completed") || state.contains("cancelled")) {
                done.countDown();
                next.run();
              } else if (polls > 0) {
                pause().onSuccess(over -> awaitEnd(to, path, polls - 1, next));
              }
            });
  }

  private Future<String> call(ServiceAddress address, HttpMethod method, String path, Buffer body) {
    return calls
        .call(address, method, path, HEADERS, body, CALL_MILLIS)
        .map(reply -> reply.body().toString());
  }

  private static JsonObject settings(String name, ServiceAddress platform) throws IOException {
    String host = InetAddress.getLoopbackAddress().getHostAddress();
    return new JsonObject()
        .put("name", name)
        .put("address", host)
        .put("peerPort", freePort())
        .put("metricsPort", name.equals("first") ? freePort() : 0)
        .put("front", new ServiceAddress(host, freePort()).toString())
        .put("ready", new ServiceAddress(host, freePort()).toString())
        .put("store", platform.toString())
        .put("advisor", platform.toString())
        .put("processorShare", 1)
        .put("processorSpeed", 1)
        .put("linkMegabits", 1_000)
        .put("longestLeaseMillis", 6_000)
        .put("gangMillis", 3_000)
        .put("revokeMillis", 5_000)
        .put("stateKeptSeconds", 60)
        .put("graceSeconds", 1)
        .put("leastGroupLifetimeMillis", 1_000)
        .put("workerHeartbeatMillis", 1_500);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
