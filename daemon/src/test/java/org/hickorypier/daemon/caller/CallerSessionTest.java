package org.hickorypier.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Compares the responses to a complete HTTP session of a caller with a golden file. */
class CallerSessionTest {

  private static final long BODY_LIMIT_BYTES = 400;
  private static final long BODY_TIMEOUT_MILLIS = 10_000;
  private static final String NO_BODY = "";

  private static final List<Step> SESSION =
      List.of(
          request("{\"requestId\":\"r1\",\"idempotent\":true,\"payload\":{\"child\":\"A-17\"}}"),
          request("{\"requestId\":\"fails\"}"),
          request("{\"requestId\":\"lost\"}"),
          request("{\"requestId\":\"gone\"}"),
          request("{\"requestId\":\"full\",\"class\":\"urgent\"}"),
          request("{\"requestId\":\"late\"}"),
          request("{\"requestId\":\"huge\",\"processors\":900}"),
          request("{\"requestId\":\"a b\"}"),
          request("{\"requestId\":\"r2\",\"processors\":-1}"),
          request("{\"requestId\":\"r2\",\"memoryMebibytes\":1.5}"),
          request("{\"requestId\":\"r2\",\"deadlineMillis\":0}"),
          request("{\"requestId\":\"r2\",\"tasks\":2}"),
          request("{\"requestId\":\"r2\",\"idempotent\":\"yes\"}"),
          request("{\"requestId\":\"r2\",\"class\":\"batch\"}"),
          request("{\"requestId\":\"r2\",\"colour\":\"red\"}"),
          request("not json"),
          request(NO_BODY),
          request("{\"requestId\":\"r3\",\"payload\":\"" + "x".repeat(500) + "\"}"),
          new Step("POST", "/v1/requests", "other.key", "{\"requestId\":\"r4\"}"),
          job("POST", "/v1/jobs", "{\"requestId\":\"j1\",\"class\":\"gang\",\"tasks\":4}"),
          job("POST", "/v1/jobs", "{\"requestId\":\"undecided\"}"),
          job("POST", "/v1/jobs", "{\"requestId\":\"j2\",\"class\":\"urgent\"}"),
          job("GET", "/v1/jobs/j1", NO_BODY),
          job("GET", "/v1/jobs/none", NO_BODY),
          job("DELETE", "/v1/jobs/j1", NO_BODY));

  private final Vertx vertx = Vertx.vertx();
  private HttpServer server;

  @BeforeEach
  void start() throws Exception {
    Router router = Router.router(vertx);
    new CallerApi(
            new FakeCallerGateway(),
            new CallerRequestParser(5_000),
            BODY_LIMIT_BYTES,
            BODY_TIMEOUT_MILLIS)
        .mount(router);
    server =
        vertx
            .createHttpServer()
            .requestHandler(router)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get();
  }

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  @Test
  void sessionMatchesGoldenFile() throws Exception {
    StringBuilder session = new StringBuilder();
    for (Step step : SESSION) {
      session.append(execute(step));
    }

    assertThat(session.toString()).isEqualTo(golden());
  }

  private String execute(Step step) throws IOException, InterruptedException {
    HttpRequest call =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.actualPort() + step.path))
            .method(step.method, BodyPublishers.ofString(step.body))
            .header("Authorization", "Bearer " + step.key)
            .build();
    HttpResponse<String> answer =
        HttpClient.newHttpClient().send(call, BodyHandlers.ofString(StandardCharsets.UTF_8));
    String shown = step.body.length() > 120 ? step.body.substring(0, 40) + "..." : step.body;
    return "> "
        + step.method
        + " "
        + step.path
        + " "
        + shown
        + "\n< "
        + answer.statusCode()
        + ", outcome "
        + answer.headers().firstValue(CallerApi.OUTCOME_HEADER).orElse("none")
        + ", retry after "
        + answer.headers().firstValue("Retry-After").orElse("none")
        + "\n  "
        + answer.body().strip()
        + "\n";
  }

  private static String golden() throws IOException {
    try (InputStream file =
        CallerSessionTest.class.getResourceAsStream("/golden/caller-session.txt")) {
      return new String(file.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static Step request(String body) {
    return job("POST", "/v1/requests", body);
  }

  private static Step job(String method, String path, String body) {
    return new Step(method, path, FakeCallerGateway.VALID_KEY, body);
  }

  private record Step(String method, String path, String key, String body) {}
}
