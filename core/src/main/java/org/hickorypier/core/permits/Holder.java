package org.hickorypier.core.permits;

import java.util.Comparator;

/**
 * One incarnation of an instance, which can hold permits.
 *
 * <p>Immutable.
 *
 * @param instance the instance's name
 * @param incarnation the incarnation number, which increases with each restart
 */
public record Holder(String instance, long incarnation) implements Comparable<Holder> {

  private static final Comparator<Holder> ORDER =
      Comparator.comparing(Holder::instance).thenComparingLong(Holder::incarnation);

  @Override
  public int compareTo(Holder other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return instance + "#" + incarnation;
  }
}
