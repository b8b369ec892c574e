package org.hickorypier.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.smallrye.mutiny.helpers.test.UniAssertSubscriber;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hickorypier.core.configuration.Team;
import org.hickorypier.core.keys.KeyIssuer;
import org.hickorypier.core.keys.KeyVerifier;
import org.hickorypier.daemon.settings.Secret;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.language.StatementParser;
import org.hickorypier.language.StatementSyntaxException;
import org.hickorypier.language.Subject;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResult.Accepted;
import org.hickorypier.language.result.StatementResult.Conflict;
import org.hickorypier.language.result.StatementResult.Problem;
import org.hickorypier.language.result.StatementResult.Table;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class StatementExecutorTest {

  private static final String CREATE = "create team labels share 2 limit 40";

  private final ManualTimerService time = new ManualTimerService();
  private final FakeChangeLog log = new FakeChangeLog();
  private final List<String> behind = new ArrayList<>();
  private StatementExecutor executor;

  @BeforeEach
  void wire() {
    FakeFleet fleet = new FakeFleet();
    executor =
        new StatementExecutor(
            log::state,
            fleet,
            fleet,
            fleet,
            log,
            offset -> List.copyOf(behind),
            new KeyIssuer(new SecureRandom()),
            time);
  }

  @ParameterizedTest
  @EnumSource
  void rowsHaveTheColumnsOfTheirSubject(Subject subject) {
    run(CREATE);
    run("give key to team labels");

    Table table = (Table) run("show " + subject.word());

    assertThat(table.rows()).hasSize(1);
    assertThat(table.rows().get(0)).hasSameSizeAs(table.columns());
    assertThat(table.missing()).isEqualTo(subject == Subject.KEYS ? List.of() : List.of("norte-3"));
  }

  @Test
  void teamsCountTheirWork() {
    run(CREATE);

    Table table = (Table) run("show teams");

    assertThat(table.rows().get(0).stream().map(cell -> cell.shown()))
        .containsExactly("labels", "2", "40", "1", "1", "1");
  }

  @Test
  void settingOneValueKeepsTheOther() {
    run(CREATE);

    assertThat(run("set team labels limit 20"))
        .isEqualTo(new Accepted(1, "team labels changed: share 2, limit 20", true, List.of(), ""));
    assertThat(run("set team labels share 3 at revision 2")).isInstanceOf(Accepted.class);
    assertThat(log.state().teams()).containsEntry("labels", new Team("labels", 3, 3, 20));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          create team labels share 1 limit 1       | team labels exists already, at revision 1
          set team labels share 3 at revision 7    | team labels is at revision 1; this change rests on revision 7
          drain worker w1 at revision 4            | the drain of worker w1 is at revision 0; this change rests on revision 4
          """)
  void staleChangesAreConflicts(String statement, String message) {
    run(CREATE);

    assertThat(run(statement)).isEqualTo(new Conflict(message));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          set team labels share 3               | there is no team labels
          give key to team labels               | there is no team labels
          withdraw key k1                       | there is no key k1
          create team 'a/b' share 1 limit 1     | a team's name is 1 to 64 letters, digits, ., _ and -, and begins with one of the first two
          explain labels/r-9                    | no instance knows work labels/r-9
          cancel labels/r-9                     | no instance knows work labels/r-9
          """)
  void unusableStatementsAreProblemsAndChangeNothing(String statement, String message) {
    assertThat(run(statement)).isEqualTo(new Problem(message, 0));
    assertThat(log.records()).isEmpty();
  }

  @Test
  void keysOpenUntilWithdrawnAndOnlyTheirHashIsKept() {
    run(CREATE);
    final String teamKey = ((Accepted) run("give key to team labels")).secret();
    final String operatorKey = ((Accepted) run("give key to operators")).secret();
    Secret first = new Secret("first.0123456789abcdef");
    ConfiguredOperators operators = new ConfiguredOperators(log::state, Optional.of(first));

    assertThat(KeyVerifier.check(log.state(), teamKey).team()).isEqualTo("labels");
    assertThat(Stream.of(operatorKey, first.reveal())).allMatch(operators::isOperator);
    assertThat(Stream.of(teamKey, "", "first.0123456789abcdeX", operatorKey + "x"))
        .noneMatch(operators::isOperator);

    String keyId = operatorKey.substring(0, operatorKey.indexOf('.'));
    assertThat(run("withdraw key " + keyId)).isInstanceOf(Accepted.class);
    assertThat(operators.isOperator(operatorKey)).isFalse();
  }

  // The operator sees who is behind. The change is folded here, but norte-2 does not report its
  // offset; after three seconds of waiting it is named. Once it has reported, the same question
  // tells that the change is in force.
  @Test
  void instancesThatDoNotFoldInTimeAreNamed() {
    behind.add("norte-2");
    UniAssertSubscriber<StatementResult> result = start(CREATE, "c1");
    time.advance(Duration.ofMillis(2_950));
    result.assertNotTerminated();
    time.advance(Duration.ofMillis(100));

    Accepted accepted = (Accepted) result.awaitItem().getItem();
    assertThat(accepted.inForce()).isFalse();
    assertThat(accepted.behind()).containsExactly("norte-2");

    behind.clear();
    assertThat(executor.progressOf(accepted.offset()).inForce()).isTrue();
  }

  // The operator sees "not done" and may go to another instance without fear. The log takes
  // nothing, so the change still waits unsent when its time is up, and is taken back.
  @Test
  void unsentChangesAreTakenBack() {
    log.mode(FakeChangeLog.Mode.TAKES_NOTHING);

    assertThat(failureOf(CREATE).kind()).isEqualTo(OperatorFailureKind.NOT_DONE);
  }

  // The operator sees that the fate is unknown, repeats the change under its id and hears that it
  // was accepted, at the offset of the first try. The log had taken the first try, but its answer
  // was lost; without the id the repetition would be a conflict.
  @Test
  void changesWhoseAnswerWasLostAreRepeatedUnderTheirId() {
    log.mode(FakeChangeLog.Mode.LOSES_ANSWERS);
    assertThat(failureOf(CREATE).kind()).isEqualTo(OperatorFailureKind.UNKNOWN_FATE);

    log.mode(FakeChangeLog.Mode.WORKS);
    Accepted repeated = (Accepted) run(CREATE);

    assertThat(repeated.offset()).isZero();
    assertThat(log.state().teams().get("labels").revision()).isOne();
    assertThat(result(CREATE, "another-id")).isInstanceOf(Conflict.class);
  }

  // The operator hears that a key was given and lost, and not a key that opens nothing. The first
  // try's key is in force and nobody has its secret; the repetition made another key, which the
  // fold did not take because the id was folded before.
  @Test
  void repeatedGiftsShowNoKeyThatOpensNothing() {
    log.mode(FakeChangeLog.Mode.LOSES_ANSWERS);
    failureOf("give key to operators");

    log.mode(FakeChangeLog.Mode.WORKS);
    StatementResult repeated = run("give key to operators");

    assertThat(repeated).isInstanceOf(Problem.class);
    assertThat(log.state().keys()).hasSize(1);
  }

  // An operator reuses the id of an old change for a new statement. The new statement takes effect
  // too, because the id in the log is made of both.
  @Test
  void idsReusedForAnotherStatementHideNothing() {
    run(CREATE);
    run("set team labels share 5");

    assertThat(log.state().teams().get("labels").share()).isEqualTo(5);
  }

  // An operator mistypes a worker's name and would stop a worker that still gets work. The answer
  // says that no worker of that name is known.
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          drain worker w1        | worker w1 takes no new work
          drain worker w2        | worker w2 takes no new work; no worker of that name is known now
          undrain instance norte-1 | instance norte-1 takes new work again
          drain instance w1      | instance w1 takes no new work; no instance of that name is known now
          """)
  void drainsOfUnknownNamesAreRemarkedOn(String statement, String note) {
    assertThat(((Accepted) run(statement)).note()).isEqualTo(note);
  }

  @Test
  void explainsThatWorkRuns() {
    Table table = (Table) run("explain labels/r-1");

    assertThat(table.rows().get(0).get(1).shown()).isEqualTo("it does not wait, it runs on w1");
  }

  @Test
  void cancels() {
    assertThat(run("cancel labels/r-1"))
        .isEqualTo(
            new Accepted(StatementResult.NO_OFFSET, "labels/r-1 cancelled", true, List.of(), ""));
    assertThat(((Accepted) run("cancel labels/r-2")).note())
        .isEqualTo("labels/r-2 had ended before");
    assertThat(failureOf("cancel labels/silent").kind())
        .isEqualTo(OperatorFailureKind.UNKNOWN_FATE);
  }

  private StatementResult run(String statement) {
    return result(statement, "c1");
  }

  private StatementResult result(String statement, String changeId) {
    return start(statement, changeId).awaitItem().getItem();
  }

  private OperatorFailureException failureOf(String statement) {
    UniAssertSubscriber<StatementResult> result = start(statement, "c1");
    time.advance(Duration.ofSeconds(10));
    return (OperatorFailureException) result.awaitFailure().getFailure();
  }

  private UniAssertSubscriber<StatementResult> start(String statement, String changeId) {
    try {
      return executor
          .execute(new StatementParser().parse(statement), Optional.of(changeId))
          .subscribe()
          .withSubscriber(UniAssertSubscriber.create());
    } catch (StatementSyntaxException error) {
      throw new AssertionError(error);
    }
  }
}
