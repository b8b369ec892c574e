package org.hickorypier.language;

import java.util.List;

/**
 * A column of a subject.
 *
 * <p>Immutable.
 *
 * @param name the name used in statements and table heads
 * @param kind what its cells hold
 * @param values the only values its cells can take, empty if there is no such list
 */
public record Column(String name, ColumnKind kind, List<String> values) {

  /** Copies the values. */
  public Column {
    values = List.copyOf(values);
  }

  /**
   * Returns a column of free text.
   *
   * @param name the name
   * @return the column
   */
  public static Column text(String name) {
    return new Column(name, ColumnKind.TEXT, List.of());
  }

  /**
   * Returns a column of numbers.
   *
   * @param name the name
   * @return the column
   */
  public static Column number(String name) {
    return new Column(name, ColumnKind.NUMBER, List.of());
  }
}
