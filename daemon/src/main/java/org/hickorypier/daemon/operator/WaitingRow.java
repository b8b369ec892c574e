package org.hickorypier.daemon.operator;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.language.result.Cell;

/**
 * Work that is queued.
 *
 * <p>Immutable.
 *
 * @param key its identity
 * @param workClass its class
 * @param instance the instance where it waits
 * @param dataCentre the instance's data centre
 * @param tasks the number of its tasks
 * @param resources what each task declares
 * @param ageSeconds for how long it has waited
 */
public record WaitingRow(
    WorkKey key,
    WorkClass workClass,
    String instance,
    String dataCentre,
    int tasks,
    Resources resources,
    long ageSeconds)
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
                Cell.of(dataCentre),
                Cell.of(tasks)));
    cells.addAll(RowCells.of(resources));
    cells.add(Cell.of(ageSeconds));
    return cells;
  }
}
