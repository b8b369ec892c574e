package org.hickorypier.core.cell;

import java.util.Set;

/**
 * The operator's evacuations as read from the store.
 *
 * <p>Immutable.
 *
 * @param dataCentres the data centres that are being evacuated
 * @param readAt when the read was sent, on the monotonic clock, in milliseconds; an evacuation
 *     requested later may be missing
 */
public record EvacuationReading(Set<String> dataCentres, long readAt) {

  /** No evacuation, before the first read. */
  public static final EvacuationReading NONE = new EvacuationReading(Set.of(), Long.MIN_VALUE / 2);

  /** Copies the set, so that the record is immutable. */
  public EvacuationReading {
    dataCentres = Set.copyOf(dataCentres);
  }
}
