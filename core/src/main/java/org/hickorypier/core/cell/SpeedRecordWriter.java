package org.hickorypier.core.cell;

import java.util.Arrays;
import org.hickorypier.core.estimation.WorkerSpeedCodec;

/** Hands the speeds of the workers to the store for a successor. Confined to the control thread. */
final class SpeedRecordWriter {

  /**
   * Minimum time between two writes, in milliseconds. A record of 250 workers has about 12 kB, and
   * a successor that misses the last seconds learns them again within as many.
   */
  private static final long PERIOD_MILLIS = 5_000;

  private final CellState cell;
  private long checkedAt;
  private byte[] written = {};

  SpeedRecordWriter(CellState cell) {
    this.cell = cell;
    this.checkedAt = cell.takenOverAt;
  }

  /** Writes the speeds if they have changed and the last write is long enough ago. */
  void tick(long now) {
    if (!cell.speedEstimator.isByWorker() || now - checkedAt < PERIOD_MILLIS) {
      return;
    }
    checkedAt = now;
    byte[] record = WorkerSpeedCodec.encode(cell.speedEstimator.speeds());
    if (!Arrays.equals(record, written)) {
      written = record;
      cell.output.saveSpeeds(record);
    }
  }
}
