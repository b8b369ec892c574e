package org.hickorypier.cli;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.language.result.Cell;
import org.hickorypier.language.result.StatementResult.Table;

/** Prints tables for people. Stateless. */
final class TablePrinter {

  private static final String GAP = "  ";

  String print(Table table) {
    List<Integer> widths = widths(table);
    StringBuilder text = new StringBuilder();
    appendLine(text, table.columns().stream().map(Cell::of).toList(), widths);
    for (List<Cell> row : table.rows()) {
      appendLine(text, row, widths);
    }
    int size = table.rows().size();
    text.append(size == 1 ? "1 row\n" : size + " rows\n");
    if (!table.missing().isEmpty()) {
      text.append("no answer from ").append(String.join(", ", table.missing()));
      text.append("; their rows are missing\n");
    }
    return text.toString();
  }

  private static List<Integer> widths(Table table) {
    List<Integer> widths = new ArrayList<>();
    for (int column = 0; column < table.columns().size(); column++) {
      int width = table.columns().get(column).length();
      for (List<Cell> row : table.rows()) {
        width = Math.max(width, printable(row.get(column)).length());
      }
      widths.add(width);
    }
    return widths;
  }

  private static void appendLine(StringBuilder text, List<Cell> cells, List<Integer> widths) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < cells.size(); column++) {
      Cell cell = cells.get(column);
      String shown = printable(cell);
      String padding = " ".repeat(widths.get(column) - shown.length());
      line.append(column == 0 ? "" : GAP);
      line.append(cell instanceof Cell.Quantity ? padding + shown : shown + padding);
    }
    text.append(line.toString().stripTrailing()).append('\n');
  }

  // Request ids are chosen by callers. An escape sequence in one would be carried out by the
  // operator's terminal and could hide or forge rows; without control characters there is none.
  private static String printable(Cell cell) {
    StringBuilder text = new StringBuilder();
    cell.shown()
        .codePoints()
        .map(c -> Character.isISOControl(c) ? '?' : c)
        .forEach(text::appendCodePoint);
    return text.toString();
  }
}
