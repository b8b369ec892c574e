package org.hickorypier.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.hickorypier.language.result.StatementResult.Accepted;
import org.hickorypier.language.result.StatementResult.Conflict;
import org.hickorypier.language.result.StatementResult.Problem;
import org.hickorypier.language.result.StatementResult.Table;
import org.junit.jupiter.api.Test;

/** Holds the hand-written server to the contract that the daemon keeps too. */
class FakeOperatorContractTest {

  private static final Path CONTRACT =
      Path.of("../language/src/test/resources/contract/operator-interface.csv");
  private static final HttpClient HTTP = HttpClient.newHttpClient();
  private static final String KEY = "k1.0123456789abcdef";
  private static final String CREATE = "create team labels share 2 limit 40";
  private static final Accepted ACCEPTED = new Accepted(0, "done", true, List.of(), "");
  private static final Table TABLE = new Table(List.of("team"), List.of(), List.of());

  @Test
  void keepsTheContract() throws IOException, InterruptedException {
    Vertx vertx = Vertx.vertx();
    try (FakeOperatorServer server = new FakeOperatorServer(vertx, KEY)) {
      server.answer(CREATE, ACCEPTED).answer(CREATE, ACCEPTED);
      server.answer(CREATE, new Conflict("it exists already"));
      server.answer("set team labels limit 20 at revision 9", new Conflict("stale"));
      server.answer("withdraw key k9", new Problem("there is no key k9", 0));
      server.answer("drain worker w1", ACCEPTED).answer("cancel labels/r-1", ACCEPTED);
      server.answer("show teams", TABLE).answer("count running by team", TABLE);
      server.answer("/v1/operator/changes/0", ACCEPTED);
      for (String line : Files.readAllLines(CONTRACT)) {
        if (!line.startsWith("#")) {
          check(server.address(), line);
        }
      }
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private static void check(String address, String line) throws IOException, InterruptedException {
    List<String> parts = Arrays.stream(line.split("\\|")).map(String::strip).toList();
    boolean isPost = parts.get(0).equals("POST");
    String path = isPost ? "/v1/operator/statements" : parts.get(3);
    HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path));
    if (!parts.get(1).equals("nobody")) {
      String key = parts.get(1).equals("operator") ? KEY : "k2.fedcba9876543210";
      request.header("Authorization", "Bearer " + key);
    }
    if (!parts.get(2).equals("-")) {
      request.header("Hickory-Change-Id", parts.get(2));
    }
    if (isPost) {
      request.POST(BodyPublishers.ofString(parts.get(3)));
    }
    HttpResponse<String> response = HTTP.send(request.build(), BodyHandlers.ofString());
    assertThat(response.statusCode()).as(line).isEqualTo(Integer.parseInt(parts.get(4)));
    assertThat(response.body()).as(line).startsWith("{\"kind\":\"" + parts.get(5) + "\"");
    assertThat(response.headers().firstValue("Content-Type")).contains("application/json");
  }
}
