package org.hickorypier.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The promises made to refused callers, in the order of their first refusal.
 *
 * <p>The work of a promise counts as ahead of others until its slot is over, so newcomers do not
 * take its room. A caller that returns in its slot waits for earlier promises only; one that
 * returns early or late waits for all others. A repeated refusal keeps the place. Bounded; the
 * promises end with the owner, without harm. Confined to the control thread.
 */
public final class ReturnSchedule {

  /** Some 20 s of refusals at 100 submissions a second; a promise takes some 300 bytes. */
  static final int MAX_PROMISES = 2_000;

  /** Lifetime of a promise: the longest delay, the slot, and two seconds on the way. */
  static final long PROMISE_MILLIS = 15_000;

  /** Length of a slot: callers wait whole seconds, and an answer takes up to a second. */
  static final long SLOT_MILLIS = 3_000;

  private final Map<String, Promise> promises = new LinkedHashMap<>();

  private record Promise(long fromMillis, long madeAtMillis, List<WorkGroup> work) {

    boolean isExpired(long now) {
      return now - madeAtMillis > PROMISE_MILLIS;
    }

    boolean isOver(long now) {
      return now > fromMillis + SLOT_MILLIS;
    }

    boolean isInSlot(long now) {
      return now >= fromMillis && !isOver(now);
    }
  }

  /**
   * Returns the promised work that is ahead of a submission.
   *
   * @param id the submission's id
   * @param now the time, on the owner's clock
   * @return the work of earlier promises if the caller returns in its slot, of all others otherwise
   */
  List<WorkGroup> ahead(String id, long now) {
    promises.values().removeIf(promise -> promise.isExpired(now));
    Promise own = promises.get(id);
    boolean inSlot = own != null && own.isInSlot(now);
    List<WorkGroup> ahead = new ArrayList<>();
    for (Map.Entry<String, Promise> entry : promises.entrySet()) {
      if (entry.getValue() == own) {
        if (inSlot) {
          break;
        }
      } else if (!entry.getValue().isOver(now)) {
        ahead.addAll(entry.getValue().work);
      }
    }
    return ahead;
  }

  /**
   * Promises a slot, or a later slot in the same place.
   *
   * @param request the refused submission
   * @param retryAfterMillis when it is to come back, in milliseconds from now
   * @param now the time, on the owner's clock
   * @return the delay to tell the caller, in milliseconds
   */
  long promise(AdmissionRequest request, long retryAfterMillis, long now) {
    Promise own = promises.get(request.id());
    if (own != null && now < own.fromMillis) {
      return AdmissionPolicy.retryAfterMillis(own.fromMillis - now);
    }
    if (own == null && promises.size() >= MAX_PROMISES) {
      return AdmissionPolicy.MAX_RETRY_MILLIS;
    }
    // The position of a known key in the map does not change.
    long from = now + retryAfterMillis;
    promises.put(request.id(), new Promise(from, now, request.work(from)));
    return retryAfterMillis;
  }

  /** Ends the promise to an accepted submission. */
  void remove(String id) {
    promises.remove(id);
  }

  /** Returns the number of promises. */
  int size() {
    return promises.size();
  }
}
