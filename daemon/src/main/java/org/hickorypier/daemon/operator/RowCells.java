package org.hickorypier.daemon.operator;

import java.util.List;
import java.util.Locale;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.language.result.Cell;

/** The cells that several rows have. Stateless. */
final class RowCells {

  private static final double MILLI = 1_000;

  private RowCells() {}

  static Cell of(WorkClass workClass) {
    return Cell.of(word(workClass));
  }

  static List<Cell> of(Resources resources) {
    return List.of(
        Cell.of(resources.milliProcessors() / MILLI),
        Cell.of(resources.memoryMebibytes()),
        Cell.of(resources.accelerators()));
  }

  static String word(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
