package org.hickorypier.daemon.operator;

import java.util.List;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.language.result.Cell;

/**
 * Work that was refused or given up on.
 *
 * <p>Immutable.
 *
 * @param key its identity
 * @param workClass its class
 * @param instance the instance that refused it
 * @param dataCentre the instance's data centre
 * @param reason why
 * @param ageSeconds how long ago
 */
public record RefusedRow(
    WorkKey key,
    WorkClass workClass,
    String instance,
    String dataCentre,
    RefusalReason reason,
    long ageSeconds)
    implements TableRow {

  @Override
  public List<Cell> cells() {
    return List.of(
        Cell.of(key.team()),
        Cell.of(key.requestId()),
        RowCells.of(workClass),
        Cell.of(instance),
        Cell.of(dataCentre),
        Cell.of(RowCells.word(reason)),
        Cell.of(ageSeconds));
  }
}
