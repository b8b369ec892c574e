package org.hickorypier.daemon.node;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.ParseException;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.rehearsal.RehearsalPlatform;

/**
 * Training run that starts two instances on loopback over a stand-in platform, submits work, and
 * exits.
 *
 * <p>The build runs it to write the archive of loaded classes (class-data sharing). A restarted
 * process loads from the archive every class that an owner needs, including those that the runtime
 * generates for lambdas; without the classes of a working owner, the time from the first log line
 * to the first accepted submission was half as long again. Exit codes: 0 if the work was completed,
 * 1 if not.
 */
public final class Rehearsal {

  /** A failed run fails the build, and a busy machine takes ten times as long as an idle one. */
  private static final long TIMEOUT_SECONDS = 60;

  private static final int SUBMISSIONS = 20;

  /** From here on outgoing connections take ports, also one that was found free before. */
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  private static final int LOWEST_PORT = 20_000;

  private static int nextPort =
      ThreadLocalRandom.current().nextInt(LOWEST_PORT, FIRST_EPHEMERAL_PORT - 1_000);
  private static final int MAX_POLLS = 200;
  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final long CALL_TIMEOUT_MILLIS = 3_000;
  private static final int OK = 200;
  private static final Map<String, String> HEADERS =
      Map.of(
          "Host", RehearsalPlatform.HOST, "Authorization", "Bearer " + RehearsalPlatform.API_KEY);

  private final PooledHttpClient httpCalls;
  private final Vertx vertx;
  private final CountDownLatch remainingSubmissions = new CountDownLatch(SUBMISSIONS);

  private Rehearsal(Vertx vertx) {
    this.vertx = vertx;
    this.httpCalls = new PooledHttpClient(vertx, 2);
  }

  /**
   * Runs the rehearsal.
   *
   * @param arguments not used
   * @throws IOException if no port is free, or the settings file cannot be written
   * @throws InterruptedException if the runtime exits first
   * @throws ParseException if the flags of an instance have changed
   * @throws SettingsFileException if the format of the settings has changed
   */
  public static void main(String[] arguments)
      throws IOException, InterruptedException, ParseException, SettingsFileException {
    Vertx platformVertx = Vertx.vertx();
    CountDownLatch listening = new CountDownLatch(1);
    Future<ServiceAddress> platform =
        new RehearsalPlatform(platformVertx).listen().onSuccess(address -> listening.countDown());
    boolean platformListening = listening.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (!platformListening) {
      System.exit(1);
    }
    JsonObject firstSettings = settings("first", platform.result());
    final NodeSettings first = NodeSettings.decode(firstSettings);
    final NodeSettings second = NodeSettings.decode(settings("second", platform.result()));
    Path file = Files.createTempFile("rehearsal", ".json");
    Files.writeString(file, firstSettings.encode());
    NodeMain.StartedInstance started = NodeMain.startFromFlags(new String[] {"--settings=" + file});
    Files.delete(file);
    Rehearsal rehearsal = new Rehearsal(started.vertx());
    started
        .deployed()
        .compose(
            id ->
                started
                    .vertx()
                    .deployVerticle(new Node(second, started.log(), System::currentTimeMillis)))
        .onSuccess(id -> rehearsal.submitFrom(first, second, 0));
    boolean finished = rehearsal.remainingSubmissions.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    System.exit(finished ? 0 : 1);
  }

  private void submitFrom(NodeSettings first, NodeSettings second, int number) {
    if (number == SUBMISSIONS) {
      return;
    }
    NodeSettings target = number % 2 == 0 ? first : second;
    String path = RehearsalPlatform.QUEUE_PATH_PREFIX + "%016x".formatted(number);
    boolean cancelled = number % 5 == 4;
    submit(target, path, MAX_POLLS)
        .compose(none -> call(target.ready(), HttpMethod.GET, "/", null))
        .compose(
            none -> call(target.front(), HttpMethod.GET, RehearsalPlatform.QUEUE_PATH_PREFIX, null))
        .compose(
            none ->
                cancelled
                    ? call(target.front(), HttpMethod.DELETE, path, null)
                    : Future.succeededFuture(""))
        .onComplete(
            none ->
                awaitCompletion(
                    target, path, MAX_POLLS, () -> submitFrom(first, second, number + 1)));
  }

  /** Sends a submission and retries while it is not accepted, since there may be no owner yet. */
  private Future<String> submit(NodeSettings target, String path, int remainingAttempts) {
    return httpCalls
        .call(
            target.front(),
            HttpMethod.POST,
            path,
            HEADERS,
            RehearsalPlatform.submissionBody(),
            CALL_TIMEOUT_MILLIS)
        .compose(
            reply ->
                reply.status() == OK || remainingAttempts == 0
                    ? Future.succeededFuture("")
                    : awaitPollInterval()
                        .compose(over -> submit(target, path, remainingAttempts - 1)));
  }

  private Future<Void> awaitPollInterval() {
    Promise<Void> over = Promise.promise();
    vertx.setTimer(POLL_INTERVAL_MILLIS, id -> over.complete());
    return over.future();
  }

  private void awaitCompletion(
      NodeSettings target, String path, int remainingPolls, Runnable next) {
    call(target.front(), HttpMethod.GET, path, null)
        .otherwise(error -> "")
        .onSuccess(
            state -> {
              if (state.contains("completed") || state.contains("cancelled")) {
                remainingSubmissions.countDown();
                next.run();
              } else if (remainingPolls > 0) {
                awaitPollInterval()
                    .onSuccess(over -> awaitCompletion(target, path, remainingPolls - 1, next));
              }
            });
  }

  private Future<String> call(ServiceAddress address, HttpMethod method, String path, Buffer body) {
    return httpCalls
        .call(address, method, path, HEADERS, body, CALL_TIMEOUT_MILLIS)
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

  /** Returns a port that is free and was not returned before. */
  private static int freePort() throws IOException {
    for (int port = nextPort; port < FIRST_EPHEMERAL_PORT; port++) {
      try (ServerSocket socket = new ServerSocket(port)) {
        nextPort = port + 1;
        return socket.getLocalPort();
      } catch (BindException taken) {
        // The next one may be free.
      }
    }
    throw new IOException("no free port below " + FIRST_EPHEMERAL_PORT);
  }
}
