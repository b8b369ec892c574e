package org.hickorypier.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import org.hickorypier.language.result.Cell;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResult.Accepted;
import org.hickorypier.language.result.StatementResult.Conflict;
import org.hickorypier.language.result.StatementResult.Problem;
import org.hickorypier.language.result.StatementResult.Table;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OperatorSessionTest {

  private static final String KEY = "k1.0123456789abcdef";
  private static final String CREATE = "create team labels share 2 limit 40";
  private static final String SHOW_TEAMS = "show teams";
  private static final Accepted IN_FORCE = accepted(7, true, List.of(), "");
  private static final Table TEAMS =
      new Table(
          List.of("team", "share", "limit"),
          List.of(
              List.of(Cell.of("labels"), Cell.of(2), Cell.of(40)),
              List.of(Cell.of("reminders"), Cell.of(0.5), Cell.of(8))),
          List.of());

  private final Vertx vertx = Vertx.vertx();
  private FakeOperatorServer server;
  private FakeOperatorServer second;
  private Session session;

  @BeforeEach
  void start() {
    server = new FakeOperatorServer(vertx, KEY);
    second = new FakeOperatorServer(vertx, KEY);
    session =
        new Session()
            .variable("HICKORY_OPERATOR_KEY", KEY)
            .variable("HICKORY_SERVER", server.address() + "," + second.address())
            .replace(server.address(), "FIRST")
            .replace(second.address(), "SECOND");
  }

  @AfterEach
  void stop() {
    server.close();
    second.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  void oneShotStatements() throws IOException {
    server.answer(CREATE, IN_FORCE);
    server.answer(SHOW_TEAMS, TEAMS);
    server.answer(
        "show running",
        new Table(
            List.of("team", "request"),
            List.of(List.of(Cell.of("labels"), Cell.of("r\u001b[2J1"))),
            List.of("norte-2", "norte-3")));
    server.answer("count running", new Table(List.of("count"), List.of(), List.of()));
    server.answer("give key to team labels", accepted(8, true, List.of(), "k2.fedcba9876543210"));
    server.answer(
        "set team labels limit 20 at revision 1",
        new Conflict("team labels is at revision 2, not 1"));
    server.answer("withdraw key k9", new Problem("no key k9", 0));
    server.answer("cancel labels/r-1", accepted(StatementResult.NO_OFFSET, true, List.of(), ""));

    session.run("create", "team", "labels", "share", "2", "limit", "40");
    session.run(SHOW_TEAMS);
    session.run("--output", "json", "show", "teams");
    session.run("show", "running");
    session.run("count", "running");
    session.run("give", "key", "to", "team", "labels");
    session.run("set team labels limit 20 at revision 1");
    session.run("--output", "json", "set team labels limit 20 at revision 1");
    session.run("withdraw", "key", "k9");
    session.run("cancel", "labels/r-1");
    session.run("--key", "k1.withdrawn-by-now", "show", "teams");

    session.assertMatches("one-shot.txt");
  }

  @Test
  void syntaxAndUsageErrorsSendNothing() throws IOException {
    session.run("show", "runing");
    session.run("--output", "json", "show", "runing");
    session.run("cancel", "\t'año/r-1");
    session.run("--colour", "show", "teams");
    session.run("--output", "xml", "show", "teams");
    session.run("--server", "nowhere", "show", "teams");
    session.run("--change-id", "c1");
    session.run("--key", "only-half", "show", "teams");
    session.variable("HICKORY_OPERATOR_KEY", "").run("show", "teams");

    session.assertMatches("errors.txt");
    assertThat(server.seen()).isEmpty();
  }

  @Test
  void changesThatAreNotYetInForce() throws IOException {
    server.answer(CREATE, accepted(7, false, List.of("norte-2", "norte-3"), ""));
    String path = "/v1/operator/changes/7";
    server.answer(path, accepted(7, false, List.of("norte-3"), ""));
    server.fail(path, FakeOperatorServer.HANG_UP);
    server.answer(path, accepted(7, true, List.of(), ""));
    second.fail(path, 503);
    String giving = "give key to operators";
    server.answer(giving, accepted(8, false, List.of("norte-3"), "k3.0011223344556677"));
    server.answer("/v1/operator/changes/8", accepted(8, false, List.of("norte-3"), ""));

    session.run(CREATE);
    session.run("--wait", CREATE);
    assertThat(session.pauses()).isEqualTo(3);
    session.run("--wait", giving);
    assertThat(session.pauses()).isEqualTo(3 + 60);
    session.run("--wait", "--output", "json", giving);

    session.assertMatches("not-in-force.txt");
  }

  // The caller sees one accepted change. The first server takes the statement, appends it, and dies
  // before it answers; hickory sends the statement to the second server under the same id, so the
  // log takes it once. Only when no server answers does the operator hear that the fate is unknown.
  @Test
  void changesWhoseAnswerIsLostAreRepeatedUnderTheirId() throws IOException {
    server.fail(CREATE, FakeOperatorServer.HANG_UP);
    second.answer(CREATE, IN_FORCE);
    session.run(CREATE);
    assertThat(server.seen()).containsExactly("change-1 " + CREATE);
    assertThat(second.seen()).containsExactly("change-1 " + CREATE);

    String change = "drain worker w1";
    server.fail(change, 504);
    second.fail(change, 503);
    second.answer(change, accepted(9, true, List.of(), ""));
    session.run(change);
    session.run("--change-id", "change-2", change);
    assertThat(second.seen()).endsWith("change-2 " + change);

    server.fail(SHOW_TEAMS, FakeOperatorServer.HANG_UP);
    second.fail(SHOW_TEAMS, 503);
    session.run(SHOW_TEAMS);
    session.assertMatches("lost-answers.txt");
  }

  @Test
  void unreachableServers() throws IOException {
    second.answer(CREATE, IN_FORCE);
    server.close();
    session.run(CREATE);
    second.close();
    session.run(CREATE);

    session.assertMatches("unreachable.txt");
  }

  @Test
  void scripts() throws IOException {
    server.answer(CREATE, IN_FORCE);
    server.answer(SHOW_TEAMS, TEAMS);
    server.answer("withdraw key k9", new Problem("no key k9", 0));
    server.answer("drain worker w1", accepted(9, false, List.of("norte-2"), ""));
    String script =
        """
        # the teams of the print shop
        create team labels share 2 limit 40

        show teams  # what came of it
        """;

    session.runScript(script);
    session.runScript(script, "--output", "json");
    session.runScript("withdraw key k9\n" + CREATE);
    session.runScript("withdraw key k9\n" + CREATE, "--keep-going");
    session.runScript("drain worker w1\nshow teams\n");
    final int seenBefore = server.seen().size();
    session.runScript(CREATE + "\nshew teams\n\nshow teams limit\n");
    assertThat(server.seen()).hasSize(seenBefore);
    session.runScript("shew teams\nshow teams\n", "--keep-going");
    session.runScript("");

    session.assertMatches("scripts.txt");
  }

  @Test
  void promptAndHelp() throws IOException {
    server.answer(SHOW_TEAMS, TEAMS);

    session.runPrompt("help cancel\nshow teems\n\n# nothing\nshow teams\nexit\nshow teams\n");
    session.runPrompt("show teams");
    session.run("help");
    session.run("help", "show");
    session.run("help", "dance");
    session.run("--help");

    session.assertMatches("prompt-and-help.txt");
  }

  @Test
  void watchesQueriesUntilBrokenOff() throws IOException {
    server.answer(SHOW_TEAMS, TEAMS);
    server.fail(SHOW_TEAMS, FakeOperatorServer.HANG_UP);
    server.answer(SHOW_TEAMS, TEAMS);
    server.fail(SHOW_TEAMS, 401);
    second.fail(SHOW_TEAMS, 503);

    session.run("--watch", "show", "teams");
    session.run("--watch", "drain", "worker", "w1");
    session.run("--watch", "show", "teems");
    session.run("--watch");

    session.assertMatches("watch.txt");
  }

  private static Accepted accepted(
      long offset, boolean inForce, List<String> behind, String secret) {
    return new Accepted(offset, "what was done", inForce, behind, secret);
  }
}
