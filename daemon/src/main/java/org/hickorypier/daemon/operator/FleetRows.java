package org.hickorypier.daemon.operator;

import java.util.List;

/**
 * Rows from all instances that answered.
 *
 * <p>Immutable.
 *
 * @param <T> the rows
 * @param rows the rows
 * @param missing the instances that did not answer, whose rows are not among them
 */
public record FleetRows<T extends TableRow>(List<T> rows, List<String> missing) {

  /** Copies the lists. */
  public FleetRows {
    rows = List.copyOf(rows);
    missing = List.copyOf(missing);
  }
}
