package org.hickorypier.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.keys.IssuedKey;
import org.hickorypier.core.keys.KeyIssuer;
import org.hickorypier.daemon.settings.Secret;
import org.hickorypier.daemon.time.ControlThread;
import org.hickorypier.wire.record.ConfigurationRecord.GiveKey;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OperatorApiTest {

  private static final Path CONTRACT =
      Path.of("../language/src/test/resources/contract/operator-interface.csv");
  private static final HttpClient HTTP = HttpClient.newHttpClient();
  private static final String KEY = "first.0123456789abcdef";
  private static final long SENDER_MILLIS = 5_000;

  private final StringBuilder transcript = new StringBuilder();
  private final ControlThread control = new ControlThread();
  private final FakeChangeLog log = new FakeChangeLog();
  private final Vertx vertx = Vertx.vertx();
  private volatile Optional<String> obstacle = Optional.empty();
  private HttpServer server;

  @BeforeEach
  void start() {
    FakeFleet fleet = new FakeFleet();
    StatementExecutor executor =
        new StatementExecutor(
            log::state,
            fleet,
            fleet,
            fleet,
            log,
            offset -> offset > 100 ? List.of("norte-2") : List.of(),
            new KeyIssuer(new SecureRandom()),
            control);
    Router router = Router.router(vertx);
    new OperatorApi(
            executor,
            new ConfiguredOperators(log::state, Optional.of(new Secret(KEY))),
            () -> obstacle,
            control,
            SENDER_MILLIS)
        .mount(router);
    server =
        vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
    control.close();
  }

  @Test
  void session() throws IOException, InterruptedException {
    post(KEY, "create team labels share 2 limit 40");
    post(KEY, "create team labels share 3 limit 40");
    post(KEY, "show teams");
    post(KEY, "show running where class = batch");
    post(KEY, "count waiting by team");
    post(KEY, "show refused");
    post(KEY, "explain labels/r-2");
    post(KEY, "drain worker w1");
    post(KEY, "show runing");
    post(KEY, "");
    post(KEY, "withdraw key k9");
    post("", "show teams");
    post("first.wrong-secret-of-it", "show teams");
    post(KEY, "show teams # " + "x".repeat(20_000));
    get("/v1/operator/changes/0");
    get("/v1/operator/changes/101");
    get("/v1/operator/changes/-1");
    get("/v1/operator/changes/first");
    obstacle = Optional.of("this instance has not read the configuration yet");
    post(KEY, "show teams");
    get("/v1/operator/changes/0");

    Path copy = Path.of("target/golden/operator-interface.txt");
    Files.createDirectories(copy.getParent());
    Files.writeString(copy, transcript);
    Path golden = Path.of("src/test/resources/golden/operator/operator-interface.txt");
    assertThat(transcript.toString()).as("see " + copy).isEqualTo(Files.readString(golden));
  }

  @Test
  void keepsTheContract() throws IOException, InterruptedException {
    for (String line : Files.readAllLines(CONTRACT)) {
      if (!line.startsWith("#")) {
        check(line, Arrays.stream(line.split("\\|")).map(String::strip).toList());
      }
    }
  }

  private void check(String line, List<String> parts) throws IOException, InterruptedException {
    boolean isPost = parts.get(0).equals("POST");
    String key = Map.of("operator", KEY, "team", teamKey(), "nobody", "").get(parts.get(1));
    HttpRequest.Builder request = request(isPost ? OperatorApi.STATEMENTS_PATH : parts.get(3), key);
    if (!parts.get(2).equals("-")) {
      request.header(OperatorApi.CHANGE_ID_HEADER, parts.get(2));
    }
    if (isPost) {
      request.POST(BodyPublishers.ofString(parts.get(3)));
    }
    HttpResponse<String> response = HTTP.send(request.build(), BodyHandlers.ofString());
    assertThat(response.statusCode()).as(line).isEqualTo(Integer.parseInt(parts.get(4)));
    assertThat(response.body()).as(line).startsWith("{\"kind\":\"" + parts.get(5) + "\"");
    assertThat(response.headers().firstValue("Content-Type")).contains("application/json");
  }

  private String teamKey() {
    IssuedKey key = new KeyIssuer(new SecureRandom()).issue();
    String id = "give-" + key.keyId();
    control.execute(
        () -> {
          log.submit(new GiveKey(id, 0, key.keyId(), "labels", key.salt(), key.hash()));
        });
    return key.presented();
  }

  private void post(String key, String statement) throws IOException, InterruptedException {
    HttpRequest.Builder request =
        request("/v1/operator/statements", key)
            .header("Hickory-Change-Id", "change-1")
            .POST(BodyPublishers.ofString(statement));
    send("POST " + shortened(statement) + (key.equals(KEY) ? "" : " (other key)"), request);
  }

  private void get(String path) throws IOException, InterruptedException {
    send("GET " + path, request(path, KEY).GET());
  }

  private HttpRequest.Builder request(String path, String key) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.actualPort() + path));
    return key.isEmpty() ? request : request.header("Authorization", "Bearer " + key);
  }

  private void send(String question, HttpRequest.Builder request)
      throws IOException, InterruptedException {
    HttpResponse<String> response = HTTP.send(request.build(), BodyHandlers.ofString());
    transcript.append(question).append('\n').append(response.statusCode()).append(' ');
    transcript.append(response.body()).append('\n');
  }

  private static String shortened(String statement) {
    return statement.length() < 60 ? statement : statement.substring(0, 20) + "...";
  }
}
