package org.hickorypier.core.cell;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A worker that was lost and may have crashed or been cut off.
 *
 * <p>Immutable.
 *
 * @param id its id
 * @param address where it listened; its next incarnation may listen there under another id
 * @param bornMillis the start of the incarnation that was lost, in milliseconds since 1970
 * @param lostAt when it fell silent, on the owner's monotonic clock, in milliseconds
 * @param runNumbers the number of the lost run of each task; of a gang, by its first member
 */
record LostWorker(
    String id, String address, long bornMillis, long lostAt, Map<Task, Integer> runNumbers) {

  /** Copies the map in its order, so that the record is immutable. */
  LostWorker {
    runNumbers = Collections.unmodifiableMap(new LinkedHashMap<>(runNumbers));
  }
}
