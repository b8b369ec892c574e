package org.hickorypier.daemon.operator;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.language.result.Cell;

/**
 * A task that runs.
 *
 * <p>Immutable.
 *
 * @param key the work it belongs to
 * @param workClass the class of the work
 * @param instance the instance that owns it
 * @param worker the worker it runs on
 * @param dataCentre the worker's data centre
 * @param rack the worker's rack
 * @param reserved what is reserved for it
 */
public record RunningRow(
    WorkKey key,
    WorkClass workClass,
    String instance,
    String worker,
    String dataCentre,
    String rack,
    Resources reserved)
    implements TableRow {

  @Override
  public List<Cell> cells() {
    List<Cell> cells =
        new ArrayList<>(
            List.of(
                Cell.of(key.team()),
                Cell.of(key.requestId()),
                RowCells.of(workClass),
                Cell.of(instance),
                Cell.of(worker),
                Cell.of(dataCentre),
                Cell.of(rack)));
    cells.addAll(RowCells.of(reserved));
    return cells;
  }
}
