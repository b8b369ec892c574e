package org.hickorypier.daemon.operator;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.language.result.Cell;

/**
 * A worker.
 *
 * <p>Immutable.
 *
 * @param name its name
 * @param instance the instance that controls it
 * @param dataCentre its data centre
 * @param rack its rack
 * @param state one word: open, closed, quarantined or probing
 * @param slots how many tasks it runs at the most
 * @param freeSlots slots not reserved
 * @param free resources not reserved
 */
public record WorkerRow(
    String name,
    String instance,
    String dataCentre,
    String rack,
    String state,
    int slots,
    int freeSlots,
    Resources free)
    implements TableRow {

  @Override
  public List<Cell> cells() {
    List<Cell> cells =
        new ArrayList<>(
            List.of(
                Cell.of(name),
                Cell.of(instance),
                Cell.of(dataCentre),
                Cell.of(rack),
                Cell.of(state),
                Cell.of(slots),
                Cell.of(freeSlots)));
    cells.addAll(RowCells.of(free));
    return cells;
  }
}
