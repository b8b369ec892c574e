package org.hickorypier.language.query;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.language.Column;
import org.hickorypier.language.Condition;
import org.hickorypier.language.Ordering;
import org.hickorypier.language.Statement;
import org.hickorypier.language.Subject;
import org.hickorypier.language.result.Cell;
import org.hickorypier.language.result.StatementResult.Table;

/**
 * Filters, orders, limits and counts rows as a query asks.
 *
 * <p>Stateless, so thread safe. Each row has one cell for each column of the subject, in their
 * order.
 */
public final class QueryEvaluator {

  private static final String COUNT_COLUMN = "count";

  /**
   * Carries out a {@code show}.
   *
   * @param show the query
   * @param rows all rows of its subject
   * @param missing the instances whose rows are not among them
   * @return the table
   */
  public Table show(Statement.Show show, List<List<Cell>> rows, List<String> missing) {
    Subject subject = show.subject();
    List<List<Cell>> chosen = filter(subject, show.conditions(), rows);
    show.ordering().ifPresent(ordering -> chosen.sort(comparator(subject, ordering)));
    int size = Math.min(show.limit().orElse(chosen.size()), chosen.size());
    List<String> names = subject.columns().stream().map(Column::name).toList();
    return new Table(names, chosen.subList(0, size), missing);
  }

  /**
   * Carries out a {@code count}. The largest group comes first.
   *
   * @param count the query
   * @param rows all rows of its subject
   * @param missing the instances whose rows are not among them
   * @return the table, one row for each group
   */
  public Table count(Statement.Count count, List<List<Cell>> rows, List<String> missing) {
    List<Integer> positions =
        count.groups().stream().map(column -> position(count.subject(), column)).toList();
    Map<List<Cell>, Integer> sizes = new LinkedHashMap<>();
    if (positions.isEmpty()) {
      sizes.put(List.of(), 0);
    }
    for (List<Cell> row : filter(count.subject(), count.conditions(), rows)) {
      sizes.merge(positions.stream().map(row::get).toList(), 1, Integer::sum);
    }
    List<String> names = new ArrayList<>(count.groups().stream().map(Column::name).toList());
    names.add(COUNT_COLUMN);
    return new Table(names, countRows(sizes), missing);
  }

  private static List<List<Cell>> countRows(Map<List<Cell>, Integer> sizes) {
    Comparator<Map.Entry<List<Cell>, Integer>> largestFirst =
        Map.Entry.<List<Cell>, Integer>comparingByValue().reversed();
    Comparator<Map.Entry<List<Cell>, Integer>> thenByText =
        Comparator.comparing(entry -> entry.getKey().stream().map(Cell::shown).toList().toString());
    return sizes.entrySet().stream()
        .sorted(largestFirst.thenComparing(thenByText))
        .map(QueryEvaluator::countRow)
        .toList();
  }

  private static List<Cell> countRow(Map.Entry<List<Cell>, Integer> group) {
    List<Cell> row = new ArrayList<>(group.getKey());
    row.add(Cell.of(group.getValue()));
    return row;
  }

  private static List<List<Cell>> filter(
      Subject subject, List<Condition> conditions, List<List<Cell>> rows) {
    List<List<Cell>> chosen = new ArrayList<>();
    for (List<Cell> row : rows) {
      if (conditions.stream().allMatch(condition -> holds(subject, condition, row))) {
        chosen.add(row);
      }
    }
    return chosen;
  }

  private static boolean holds(Subject subject, Condition condition, List<Cell> row) {
    Cell cell = row.get(position(subject, condition.column()));
    Cell value =
        cell instanceof Cell.Quantity
            ? Cell.of(Double.parseDouble(condition.value()))
            : Cell.of(condition.value());
    return condition.comparison().holds(compare(cell, value));
  }

  private static Comparator<List<Cell>> comparator(Subject subject, Ordering ordering) {
    int position = position(subject, ordering.column());
    Comparator<List<Cell>> ascending =
        (left, right) -> compare(left.get(position), right.get(position));
    return ordering.descending() ? ascending.reversed() : ascending;
  }

  private static int compare(Cell left, Cell right) {
    if (left instanceof Cell.Quantity one && right instanceof Cell.Quantity other) {
      return Double.compare(one.number(), other.number());
    }
    return left.shown().compareTo(right.shown());
  }

  private static int position(Subject subject, Column column) {
    return subject.columns().indexOf(column);
  }
}
