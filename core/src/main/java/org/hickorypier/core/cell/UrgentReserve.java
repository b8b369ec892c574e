package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps room for urgent work when the cell is full of other work.
 *
 * <p>Load: long gangs and batches fill every gap between two short checks, and the next check then
 * waits for seconds, several times its own length. Harm prevented: short checks, worth three times
 * as much for the room they take, come too late. The reserve follows what urgent work has used of
 * late, so that without urgent work there is none. Belongs to the control thread.
 */
final class UrgentReserve {

  /** Urgent work doubles within a burst; half above the mean covers its usual waves. */
  private static final double RESERVE_FACTOR = 1.5;

  /** Weight of one sample; with ten a second the mean follows within some 5 s. */
  private static final double SAMPLE_WEIGHT = 0.02;

  private final Map<String, UrgentUsage> usageByService = new HashMap<>();

  /** The urgent work of one service. */
  private static final class UrgentUsage {
    private int priority = Integer.MAX_VALUE;
    private long runningMilliProcessors;
    private double meanMilliProcessors;
  }

  /** Learns that work of some priority was handed in. */
  void recordPriority(String service, int priority) {
    UrgentUsage use = usageByService.computeIfAbsent(service, name -> new UrgentUsage());
    if (priority < use.priority) {
      use.priority = priority;
      use.runningMilliProcessors = 0;
      use.meanMilliProcessors = 0;
    }
  }

  boolean isUrgent(String service, int priority) {
    UrgentUsage use = usageByService.get(service);
    return use != null && priority <= use.priority;
  }

  void addRunning(String service, int priority, long processors) {
    UrgentUsage use = usageByService.get(service);
    if (use != null && priority <= use.priority) {
      use.runningMilliProcessors += processors;
    }
  }

  void sample() {
    for (UrgentUsage use : usageByService.values()) {
      use.meanMilliProcessors +=
          SAMPLE_WEIGHT * (use.runningMilliProcessors - use.meanMilliProcessors);
    }
  }

  /** Returns how many thousandths of a core other work must leave free. */
  long reservedMilliProcessors(String service) {
    UrgentUsage use = usageByService.get(service);
    return use == null
        ? 0
        : Math.max(
            0, Math.round(RESERVE_FACTOR * use.meanMilliProcessors) - use.runningMilliProcessors);
  }
}
