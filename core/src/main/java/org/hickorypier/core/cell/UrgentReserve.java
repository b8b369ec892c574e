package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Reserves processor capacity for urgent work in a cell that is full of other work.
 *
 * <p>Without a reserve, long gangs and batches use all capacity that is free between two short
 * checks. The next check then waits for seconds, several times its own length, and misses its
 * objective, although it is worth three times as much for the room it takes. The reserve follows
 * the recent usage of urgent work, so it is empty without urgent work. Confined to the control
 * thread.
 */
final class UrgentReserve {

  /** Ratio to the mean: urgent work doubles in a burst; 1.5 covers its usual variation. */
  private static final double RESERVE_FACTOR = 1.5;

  /** Weight of one sample; at ten samples a second the mean adapts within about 5 s. */
  private static final double SAMPLE_WEIGHT = 0.02;

  /** Largest share of a service that is held back, also when many of its workers are lost. */
  private static final double MAX_RESERVED_SHARE = 0.5;

  private final Map<String, UrgentUsage> usageByService = new HashMap<>();

  /** Usage by the work of the most urgent priority of one service. */
  private static final class UrgentUsage {
    private int priority = Integer.MAX_VALUE;
    private long runningMilliProcessors;
    private double meanMilliProcessors;
  }

  /** Records that work of a priority was submitted; a more urgent one restarts the mean. */
  void recordPriority(String service, int priority) {
    UrgentUsage usage = usageByService.computeIfAbsent(service, name -> new UrgentUsage());
    if (priority < usage.priority) {
      usage.priority = priority;
      usage.runningMilliProcessors = 0;
      usage.meanMilliProcessors = 0;
    }
  }

  boolean isUrgent(String service, int priority) {
    UrgentUsage usage = usageByService.get(service);
    return usage != null && priority <= usage.priority;
  }

  void addRunning(String service, int priority, long processors) {
    UrgentUsage usage = usageByService.get(service);
    if (usage != null && priority <= usage.priority) {
      usage.runningMilliProcessors += processors;
    }
  }

  void sample() {
    for (UrgentUsage usage : usageByService.values()) {
      usage.meanMilliProcessors +=
          SAMPLE_WEIGHT * (usage.runningMilliProcessors - usage.meanMilliProcessors);
    }
  }

  /**
   * Returns the capacity that other work must leave free, in thousandths of a core.
   *
   * @param capacity the capacity of the service at present, in thousandths of a core
   */
  long reservedMilliProcessors(String service, long capacity) {
    UrgentUsage usage = usageByService.get(service);
    if (usage == null) {
      return 0;
    }
    long wanted =
        Math.round(RESERVE_FACTOR * usage.meanMilliProcessors) - usage.runningMilliProcessors;
    return Math.max(0, Math.min(wanted, Math.round(MAX_RESERVED_SHARE * capacity)));
  }
}
