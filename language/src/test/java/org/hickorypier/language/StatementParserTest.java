package org.hickorypier.language;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class StatementParserTest {

  private final StatementParser parser = new StatementParser();
  private final StatementPrinter printer = new StatementPrinter();

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      textBlock =
          """
          show running                                 | show running
          SHOW Running WHERE Team = Labels             | show running where team = Labels
          show waiting where team=a and class=urgent   | show waiting where team = a and class = urgent
          show workers where free-slots >= 2.5         | show workers where free-slots >= 2.5
          show running order by memory desc limit 3    | show running order by memory desc limit 3
          show running order by memory asc             | show running order by memory
          show refused where reason != 'QUEUE FULL'    | show refused where reason != 'QUEUE FULL'
          show teams # all of them                     | show teams
          count running                                | count running
          count running by team , class where rack = 1 | count running by team, class where rack = 1
          explain labels/r-1                           | explain labels/r-1
          create team show share 02.50 limit 40        | create team show share 2.5 limit 40
          set team labels share 3                      | set team labels share 3
          set team labels share 3 limit 0 at revision 7| set team labels share 3 limit 0 at revision 7
          give key to team "o'neill"                   | give key to team 'o''neill'
          give key to operators                        | give key to operators
          withdraw key k1 at revision 2                | withdraw key k1 at revision 2
          drain instance norte-1                       | drain instance norte-1
          undrain worker 'rack 1'                      | undrain worker 'rack 1'
          cancel ñandú/'2026/12'                       | cancel ñandú/'2026/12'
          """)
  void printsWhatItParsed(String text, String printed) throws StatementSyntaxException {
    Statement statement = parser.parse(text);

    assertThat(printer.print(statement)).isEqualTo(printed);
    assertThat(parser.parse(printed)).isEqualTo(statement);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      textBlock =
          """
          ``                               | 1  | one of show, count, explain, create, set, give, withdraw, drain, undrain, cancel, found the end
          shew running                     | 1  | one of show, count, explain, create, set, give, withdraw, drain, undrain, cancel, found 'shew'
          'show' running                   | 1  | one of show, count, explain, create, set, give, withdraw, drain, undrain, cancel, found 'show'
          show                             | 5  | one of running, waiting, refused, workers, instances, teams, keys, found the end
          show runing                      | 6  | one of running, waiting, refused, workers, instances, teams, keys, found 'runing'
          show running were team = a       | 14 | 'where', 'order', 'limit' or the end, found 'were'
          show keys where colour = a       | 17 | one of key, holder, state, revision, found 'colour'
          show running where team < a      | 25 | one of = !=, found '<'
          show running where team          | 24 | one of = !=, found the end
          show running where class = rush  | 28 | one of urgent, request, service, gang, batch, found 'rush'
          show running where memory > much | 29 | a number, found 'much'
          show running where rack = 1 or   | 29 | 'and', 'order', 'limit' or the end, found 'or'
          show running order memory        | 20 | 'by', found 'memory'
          show running limit 0             | 20 | a whole number from 1 to 1000000, found '0'
          show running limit 3 limit 4     | 22 | the end, found 'limit'
          count running by                 | 17 | one of team, request, class, instance, worker, data-centre, rack, processors, memory, accelerators, found the end
          count running limit 3            | 15 | 'by', 'where' or the end, found 'limit'
          create team a share 0 limit 1    | 21 | a number from 0.001 to 1000000, found '0'
          create team a share -1 limit 1   | 21 | a number from 0.001 to 1000000, found '-1'
          create team a share 1e3 limit 1  | 21 | a number from 0.001 to 1000000, found '1e3'
          create team a limit 1            | 15 | 'share', found 'limit'
          set team a                       | 11 | one of share, limit, found the end
          set team a limit 1.5             | 18 | a whole number from 0 to 10000000, found '1.5'
          set team a share 1 at 3          | 23 | 'revision', found '3'
          give key to labels               | 13 | one of team, operators, found 'labels'
          withdraw key                     | 13 | a key's id, found the end
          drain rack r1                    | 7  | one of instance, worker, found 'rack'
          cancel labels                    | 14 | '/', found the end
          cancel labels/                   | 15 | a request id, found the end
          cancel 'labels/r1                | 18 | a closing ', found the end
          cancel ''/r1                     | 8  | a name between the quotes, found nothing
          show running; show waiting       | 13 | a word, a quoted name or one of = != < <= > >= / ,, found ';'
          cancel 😀ñ/r                      | 8  | a word, a quoted name or one of = != < <= > >= / ,, found '😀'
          cancel '😀' r                     | 12 | '/', found 'r'
          """)
  void pointsAtTheFirstError(String text, int column, String expectedAndFound) {
    StatementSyntaxException error = fail(text);

    assertThat(error.getMessage()).isEqualTo("column " + column + ": expected " + expectedAndFound);
    assertThat(error.column()).isEqualTo(column);
  }

  @Test
  void boundsTheLengthOfStatementsAndNames() {
    String longName = "n".repeat(129);

    assertThat(fail("cancel " + longName + "/r").expected())
        .isEqualTo("a team's name of at most 128 characters");
    assertThat(fail("show " + "x".repeat(StatementParser.LONGEST_STATEMENT)).column()).isOne();
  }

  @Test
  void givesTypedStatements() throws StatementSyntaxException {
    assertThat(parser.parse("show waiting where class = Urgent order by age-seconds desc limit 5"))
        .isEqualTo(
            new Statement.Show(
                Subject.WAITING,
                List.of(new Condition(Columns.CLASS, Comparison.EQUAL, "urgent")),
                Optional.of(new Ordering(Columns.AGE_SECONDS, true)),
                OptionalInt.of(5)));
    assertThat(parser.parse("set team labels limit 20"))
        .isEqualTo(
            new Statement.SetTeam(
                "labels", OptionalDouble.empty(), OptionalInt.of(20), OptionalLong.empty()));
    assertThat(parser.parse("undrain worker w1 at revision 4"))
        .isEqualTo(new Statement.Drain(DrainTarget.WORKER, "w1", false, OptionalLong.of(4)));
  }

  @ParameterizedTest
  @EnumSource
  void helpExamplesParse(StatementHelp help) throws StatementSyntaxException {
    assertThat(printer.print(parser.parse(help.example()))).isEqualTo(help.example());
    assertThat(help.example()).startsWith(help.verb());
  }

  @Test
  void everyVerbHasHelp() {
    assertThat(StatementHelp.values())
        .extracting(StatementHelp::verb)
        .containsExactlyElementsOf(StatementParser.VERBS);
  }

  private StatementSyntaxException fail(String text) {
    return catchThrowableOfType(StatementSyntaxException.class, () -> parser.parse(text));
  }
}
