package org.hickorypier.language.query;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import org.hickorypier.language.Statement;
import org.hickorypier.language.StatementParser;
import org.hickorypier.language.StatementSyntaxException;
import org.hickorypier.language.result.Cell;
import org.hickorypier.language.result.StatementResult.Table;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class QueryEvaluatorTest {

  private static final List<List<Cell>> TEAMS =
      List.of(
          team("labels", 2, 40, 9, 0, 3),
          team("reminders", 1, 10, 10, 25, 1),
          team("enrolment", 2.5, 100, 0, 0, 12));

  private final QueryEvaluator evaluator = new QueryEvaluator();

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          show teams                                  | labels reminders enrolment
          show teams where team = labels              | labels
          show teams where share >= 2                 | labels enrolment
          show teams where share = 2.0                | labels
          show teams where share > 1 and running != 0 | labels
          show teams order by limit                   | reminders labels enrolment
          show teams order by revision desc           | enrolment labels reminders
          show teams order by team desc limit 2       | reminders labels
          show teams where team = none                | ''
          """)
  void showsTheRowsAskedFor(String text, String names) throws StatementSyntaxException {
    Statement.Show show = (Statement.Show) new StatementParser().parse(text);

    Table table = evaluator.show(show, TEAMS, List.of("norte-2"));

    assertThat(table.columns())
        .containsExactly("team", "share", "limit", "running", "waiting", "revision");
    assertThat(table.rows().stream().map(row -> row.get(0).shown()))
        .containsExactlyElementsOf(names.isEmpty() ? List.of() : List.of(names.split(" ")));
    assertThat(table.missing()).containsExactly("norte-2");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          count teams                       | 3
          count teams where team = none     | 0
          count teams by waiting            | 0 2;25 1
          count teams by team, waiting      | enrolment 0 1;labels 0 1;reminders 25 1
          count teams by team where share=1 | reminders 1
          """)
  void countsGroupsLargestFirst(String text, String rows) throws StatementSyntaxException {
    Statement.Count count = (Statement.Count) new StatementParser().parse(text);

    Table table = evaluator.count(count, TEAMS, List.of());

    assertThat(table.columns()).endsWith("count");
    assertThat(table.rows().stream().map(QueryEvaluatorTest::shown))
        .containsExactly(rows.split(";"));
  }

  private static String shown(List<Cell> row) {
    return row.stream().map(Cell::shown).collect(Collectors.joining(" "));
  }

  private static List<Cell> team(
      String name, double share, int limit, int running, int waiting, int revision) {
    return List.of(
        Cell.of(name),
        Cell.of(share),
        Cell.of(limit),
        Cell.of(running),
        Cell.of(waiting),
        Cell.of(revision));
  }
}
