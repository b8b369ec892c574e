package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Cancellations of submissions that were not durable when the cancellation arrived: the submission
 * is being written, or its request is still on its way through another instance. A submission that
 * is found here when it is accepted or restored never starts.
 *
 * <p>Load: callers that leave before they are answered and cancel what they have left, thousands a
 * minute while the cell refuses work, or a client that cancels ids which it makes up. The records
 * are kept by the owner, by each standby and in the store, so their number is limited, in total and
 * for each customer, so that one customer does not use up the room of the others.
 *
 * <p>Confined to the control thread.
 */
final class EarlyCancellations {

  static final int MAX_CANCELLATIONS = 20_000;
  static final int MAX_CANCELLATIONS_PER_CUSTOMER = 5_000;

  private static final long EXPIRY_CHECK_MILLIS = 1_000;

  /** The wall-clock times of the cancellations, by id and customer. */
  private final Map<String, Map<String, Long>> cancelledAtMillis = new HashMap<>();

  private final Map<String, Integer> countByCustomer = new HashMap<>();
  private int count;
  private long checkedAt = Long.MIN_VALUE;

  /** Returns the number of the cancellations. */
  int size() {
    return count;
  }

  boolean contains(String id, String customer) {
    return cancelledAtMillis.getOrDefault(id, Map.of()).containsKey(customer);
  }

  /**
   * Adds a cancellation, or renews it.
   *
   * @param wallMillis the wall-clock time, milliseconds since 1970
   * @return false if there are too many, and it is not added
   */
  boolean add(String id, String customer, long wallMillis) {
    boolean full =
        count >= MAX_CANCELLATIONS
            || countByCustomer.getOrDefault(customer, 0) >= MAX_CANCELLATIONS_PER_CUSTOMER;
    if (full && !contains(id, customer)) {
      return false;
    }
    put(id, customer, wallMillis);
    return true;
  }

  /** Restores the cancellations of an id that an earlier owner has written. */
  void restore(String id, Map<String, Long> written) {
    written.forEach((customer, wallMillis) -> put(id, customer, wallMillis));
  }

  private void put(String id, String customer, long wallMillis) {
    Map<String, Long> times = cancelledAtMillis.computeIfAbsent(id, key -> new HashMap<>(2));
    if (times.put(customer, wallMillis) == null) {
      countByCustomer.merge(customer, 1, Integer::sum);
      count++;
    }
  }

  /** Returns the wall-clock times of the cancellations of an id, by customer. */
  Map<String, Long> of(String id) {
    return Map.copyOf(cancelledAtMillis.getOrDefault(id, Map.of()));
  }

  /**
   * Removes the cancellations that are older than the retention time, at most once a second.
   *
   * @param wallMillis the wall-clock time, milliseconds since 1970
   * @return the ids of which some were removed
   */
  List<String> removeExpired(long wallMillis, long retentionMillis) {
    List<String> changed = new ArrayList<>();
    if (count == 0 || Math.abs(wallMillis - checkedAt) < EXPIRY_CHECK_MILLIS) {
      return changed;
    }
    checkedAt = wallMillis;
    cancelledAtMillis.forEach(
        (id, times) -> {
          int before = times.size();
          times
              .entrySet()
              .removeIf(
                  each -> isExpired(each.getKey(), wallMillis - each.getValue(), retentionMillis));
          if (times.size() < before) {
            changed.add(id);
          }
        });
    cancelledAtMillis.values().removeIf(Map::isEmpty);
    return changed;
  }

  private boolean isExpired(String customer, long ageMillis, long retentionMillis) {
    if (ageMillis <= retentionMillis) {
      return false;
    }
    countByCustomer.computeIfPresent(customer, (key, number) -> number == 1 ? null : number - 1);
    count--;
    return true;
  }
}
