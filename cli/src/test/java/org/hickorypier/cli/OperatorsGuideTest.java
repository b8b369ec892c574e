package org.hickorypier.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.hickorypier.language.StatementHelp;
import org.hickorypier.language.Subject;
import org.hickorypier.language.result.Cell;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResult.Accepted;
import org.hickorypier.language.result.StatementResult.Conflict;
import org.hickorypier.language.result.StatementResult.Table;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Keeps docs/OPERATORS.md true: its examples are a session that is run here. */
class OperatorsGuideTest {

  private static final Path GUIDE = Path.of("../docs/OPERATORS.md");
  private static final String KEY = "first.0123456789abcdef";

  private final Vertx vertx = Vertx.vertx();
  private final FakeOperatorServer server = new FakeOperatorServer(vertx, KEY);
  private final Session session =
      new Session()
          .variable("HICKORY_OPERATOR_KEY", KEY)
          .variable("HICKORY_SERVER", server.address());

  @AfterEach
  void stop() {
    server.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  void examplesAreOneSession() throws IOException {
    prepareChanges();
    prepareQueries();

    session.run("create", "team", "labels", "share", "2", "limit", "40");
    session.run("give", "key", "to", "team", "labels");
    session.run("set", "team", "labels", "limit", "20");
    session.run("set", "team", "labels", "share", "3", "at", "revision", "1");
    session.run("drain", "worker", "norte-a-07");
    session.run("--wait", "undrain", "worker", "norte-a-07");
    session.run("show", "teams");
    session.run("show", "keys");
    session.run("--output", "json", "show", "keys", "limit", "1");
    session.run("withdraw", "key", "4be1c07f5a2d9e63");
    session.run("show waiting where team = labels order by age-seconds desc limit 2");
    session.run("count", "running", "by", "team,", "class");
    session.run("show", "refused");
    session.run("explain", "labels/december-04");
    session.run("cancel", "labels/december-04");
    session.run("show", "runing");

    session.assertMatches("guide.txt");
    String guide = Files.readString(GUIDE);
    String transcript = Files.readString(Path.of("src/test/resources/golden/guide.txt"));
    assertThat(Arrays.asList(transcript.split("\n\n"))).allMatch(guide::contains);
  }

  @Test
  void guideNamesEveryFlagStatementColumnAndExitCode() throws IOException {
    String guide = Files.readString(GUIDE);

    assertThat(InvocationReader.flags().split(" ")).allMatch(flag -> guide.contains("| `" + flag));
    assertThat(StatementHelp.values()).allMatch(help -> guide.contains(help.usage()));
    for (Subject subject : Subject.values()) {
      List<String> columns = subject.columns().stream().map(column -> column.name()).toList();
      assertThat(guide).contains("| " + subject.word() + " | " + String.join(", ", columns) + " |");
    }
    for (ExitCode code : ExitCode.values()) {
      assertThat(guide).contains("| " + code.code() + " | " + code.meaning() + " |");
    }
  }

  private void prepareChanges() {
    accept("create team labels share 2 limit 40", 12, "team labels created: share 2, limit 40", "");
    accept(
        "give key to team labels",
        13,
        "key 4be1c07f5a2d9e63 given to team labels",
        "4be1c07f5a2d9e63.example-secret-shown-once");
    accept("set team labels limit 20", 14, "team labels changed: share 2, limit 20", "");
    server.answer(
        "set team labels share 3 at revision 1",
        new Conflict("team labels is at revision 2; this change rests on revision 1"));
    behind("drain worker norte-a-07", 15, "worker norte-a-07 takes no new work");
    behind("undrain worker norte-a-07", 16, "worker norte-a-07 takes new work again");
    server.answer("/v1/operator/changes/16", new Accepted(16, "", true, List.of(), ""));
    accept("withdraw key 4be1c07f5a2d9e63", 17, "key 4be1c07f5a2d9e63 withdrawn", "");
    accept(
        "cancel labels/december-04", StatementResult.NO_OFFSET, "labels/december-04 cancelled", "");
  }

  private void prepareQueries() {
    table("show teams", Subject.TEAMS, List.of(row("labels", 2, 20, 18, 2, 2)));
    table("show keys", Subject.KEYS, List.of(row("4be1c07f5a2d9e63", "labels", "in-force", 1)));
    table(
        "show keys limit 1",
        Subject.KEYS,
        List.of(row("4be1c07f5a2d9e63", "labels", "in-force", 1)));
    table(
        "show waiting where team = labels order by age-seconds desc limit 2",
        Subject.WAITING,
        List.of(
            row("labels", "december-04", "batch", "norte-2", "norte-a", 6, 2, 4096, 0, 61),
            row("labels", "r-771", "urgent", "norte-5", "norte-b", 1, 0.5, 512, 0, 2)));
    answer(
        "count running by team, class",
        new Table(
            List.of("team", "class", "count"),
            List.of(row("labels", "batch", 17), row("labels", "urgent", 1)),
            List.of("norte-3")));
    table(
        "show refused",
        Subject.REFUSED,
        List.of(row("reminders", "r-102", "request", "norte-1", "norte-a", "queue-full", 14)));
    answer(
        "explain labels/december-04",
        new Table(
            List.of("work", "explanation"),
            List.of(row("labels/december-04", "team labels is at its upper limit of 20")),
            List.of()));
  }

  private void accept(String statement, long offset, String note, String secret) {
    answer(statement, new Accepted(offset, note, true, List.of(), secret));
  }

  private void behind(String statement, long offset, String note) {
    answer(statement, new Accepted(offset, note, false, List.of("norte-3"), ""));
  }

  private void table(String statement, Subject subject, List<List<Cell>> rows) {
    List<String> columns = subject.columns().stream().map(column -> column.name()).toList();
    answer(statement, new Table(columns, rows, List.of()));
  }

  private void answer(String statement, StatementResult result) {
    server.answer(statement, result);
  }

  private static List<Cell> row(Object... values) {
    return Arrays.stream(values).map(Cell::fromJson).toList();
  }
}
