package org.hickorypier.core.verification;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.model.Resources;

/**
 * The capacity of a worker over time. A lower capacity counts some time after it took effect, so
 * that an owner can learn of it.
 *
 * <p>Not thread-safe; guarded by the {@link GuaranteeChecker}.
 */
final class CapacityHistory {

  /** A stable window of 3 s, and one heartbeat of the worker. */
  private static final long NOTICE_MILLIS = 4_500;

  private record Change(Resources capacity, long at) {}

  private final List<Change> changes = new ArrayList<>();

  void record(Resources capacity, long now) {
    changes.add(new Change(capacity, now));
  }

  Resources now() {
    return changes.get(changes.size() - 1).capacity();
  }

  /** Returns the most that may be in use after a start, in thousandths of a core. */
  long mostAllowed(long now) {
    long most = now().milliProcessors();
    for (int index = 0; index + 1 < changes.size(); index++) {
      if (now - changes.get(index + 1).at() <= NOTICE_MILLIS) {
        most = Math.max(most, changes.get(index).capacity().milliProcessors());
      }
    }
    return most;
  }
}
