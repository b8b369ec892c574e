package org.hickorypier.daemon.operator;

import java.util.List;
import org.hickorypier.language.result.Cell;

/** A row of a table, one cell for each column of its subject, in their order. */
public interface TableRow {

  /**
   * Returns the cells.
   *
   * @return the cells in the order of the subject's columns
   */
  List<Cell> cells();
}
