package org.hickorypier.daemon.operator;

import java.util.List;
import org.hickorypier.language.result.Cell;

/**
 * An instance of hickorypier.
 *
 * <p>Immutable.
 *
 * @param name its name
 * @param dataCentre its data centre
 * @param state one word, such as ready, draining or silent
 * @param offset the last offset of the configuration that it folded
 * @param workers how many workers it controls
 * @param running how many tasks it runs
 * @param waiting how many items wait there
 */
public record InstanceRow(
    String name,
    String dataCentre,
    String state,
    long offset,
    int workers,
    int running,
    int waiting)
    implements TableRow {

  @Override
  public List<Cell> cells() {
    return List.of(
        Cell.of(name),
        Cell.of(dataCentre),
        Cell.of(state),
        Cell.of(offset),
        Cell.of(workers),
        Cell.of(running),
        Cell.of(waiting));
  }
}
