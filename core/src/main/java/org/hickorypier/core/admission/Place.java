package org.hickorypier.core.admission;

import java.util.Comparator;

/**
 * A place in the order in which waiting work is placed; the smallest one comes first.
 *
 * <p>Immutable. The order is that of the cell: band, priority, lateness, deadline.
 *
 * @param band 0 for useful work within its customer's rate, 1 for work over the rate, 2 and 3 for
 *     the same once it is of no use
 * @param priority the priority of the queue; 0 is the highest
 * @param late whether the work is expected to miss its objective
 * @param deadlineMillis when its objective ends, on the owner's clock
 */
public record Place(int band, int priority, boolean late, long deadlineMillis)
    implements Comparable<Place> {

  /** Compares all but the deadlines. */
  public static final Comparator<Place> CLASS_ORDER =
      Comparator.comparingInt(Place::band)
          .thenComparingInt(Place::priority)
          .thenComparing(Place::late);

  private static final Comparator<Place> ORDER =
      CLASS_ORDER.thenComparingLong(Place::deadlineMillis);

  @Override
  public int compareTo(Place other) {
    return ORDER.compare(this, other);
  }
}
