package org.hickorypier.language;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;

/** Parses the queries. Not thread safe: made for one statement. */
final class QueryParser {

  private static final int MOST_ROWS = 1_000_000;
  private static final List<String> SUBJECTS =
      Arrays.stream(Subject.values()).map(Subject::word).toList();

  private final TokenReader reader;

  QueryParser(TokenReader reader) {
    this.reader = reader;
  }

  Statement show() throws StatementSyntaxException {
    Subject subject = subject();
    List<Condition> conditions = conditions(subject);
    Optional<Ordering> ordering = ordering(subject);
    OptionalInt limit = limit();
    reader.expectEnd(showContinuation(conditions, ordering, limit));
    return new Statement.Show(subject, conditions, ordering, limit);
  }

  Statement count() throws StatementSyntaxException {
    Subject subject = subject();
    List<Column> groups = new ArrayList<>();
    if (reader.take("by")) {
      do {
        groups.add(column(subject));
      } while (reader.takeSymbol(","));
    }
    List<Condition> conditions = conditions(subject);
    reader.expectEnd(conditions.isEmpty() ? "'by', 'where' or the end" : "'and' or the end");
    return new Statement.Count(subject, groups, conditions);
  }

  Statement explain() throws StatementSyntaxException {
    String team = reader.name("a team's name");
    reader.expectSymbol("/");
    String requestId = reader.name("a request id");
    reader.expectEnd("the end");
    return new Statement.Explain(team, requestId);
  }

  private Subject subject() throws StatementSyntaxException {
    return Subject.values()[SUBJECTS.indexOf(reader.oneOf(SUBJECTS))];
  }

  private List<Condition> conditions(Subject subject) throws StatementSyntaxException {
    List<Condition> conditions = new ArrayList<>();
    if (reader.take("where")) {
      do {
        conditions.add(condition(subject));
      } while (reader.take("and"));
    }
    return conditions;
  }

  private Condition condition(Subject subject) throws StatementSyntaxException {
    Column column = column(subject);
    Comparison comparison = comparison(column);
    return new Condition(column, comparison, value(column));
  }

  private Column column(Subject subject) throws StatementSyntaxException {
    List<String> names = subject.columns().stream().map(Column::name).toList();
    return subject.column(reader.oneOf(names)).orElseThrow();
  }

  private Comparison comparison(Column column) throws StatementSyntaxException {
    List<Comparison> allowed =
        column.kind() == ColumnKind.NUMBER
            ? List.of(Comparison.values())
            : List.of(Comparison.EQUAL, Comparison.NOT_EQUAL);
    for (Comparison comparison : allowed) {
      if (reader.takeSymbol(comparison.symbol())) {
        return comparison;
      }
    }
    throw reader.expected(
        "one of " + allowed.stream().map(Comparison::symbol).collect(Collectors.joining(" ")));
  }

  private String value(Column column) throws StatementSyntaxException {
    if (!column.values().isEmpty()) {
      return reader.oneOf(column.values());
    }
    if (column.kind() == ColumnKind.NUMBER) {
      return number();
    }
    return reader.name("a value");
  }

  private String number() throws StatementSyntaxException {
    String text = reader.next().text();
    if (!DecimalNumber.matches(text)) {
      throw reader.expected("a number");
    }
    return reader.name("a number");
  }

  private Optional<Ordering> ordering(Subject subject) throws StatementSyntaxException {
    if (!reader.take("order")) {
      return Optional.empty();
    }
    reader.expect("by");
    Column column = column(subject);
    boolean descending = reader.take("desc");
    if (!descending) {
      reader.take("asc");
    }
    return Optional.of(new Ordering(column, descending));
  }

  private OptionalInt limit() throws StatementSyntaxException {
    return reader.take("limit")
        ? OptionalInt.of((int) reader.wholeNumber(1, MOST_ROWS))
        : OptionalInt.empty();
  }

  private static String showContinuation(
      List<Condition> conditions, Optional<Ordering> ordering, OptionalInt limit) {
    if (limit.isPresent()) {
      return "the end";
    }
    if (ordering.isPresent()) {
      return "'limit' or the end";
    }
    return conditions.isEmpty()
        ? "'where', 'order', 'limit' or the end"
        : "'and', 'order', 'limit' or the end";
  }
}
