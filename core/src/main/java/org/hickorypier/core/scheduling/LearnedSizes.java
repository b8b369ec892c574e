package org.hickorypier.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorypier.core.model.Resources;

/**
 * Learns what tasks of each team and name actually use.
 *
 * <p>Declared sizes can be far off. Tasks that use more than they reserve overload their worker and
 * slow down or kill the tasks beside them. So work reserves the declared size or the 95th
 * percentile of the use of its kind, whichever is larger. It never reserves less than declared,
 * because reports lag and miss peaks.
 *
 * <p>Not thread-safe.
 */
final class LearnedSizes {

  /** The number of kinds kept, at most some 8 MB; the least recently used are evicted first. */
  private static final int MAX_KINDS = 4_096;

  /**
   * The reports before a size is used, so that a single outlier does not enlarge all reservations.
   */
  private static final int MIN_REPORTS = 5;

  private record Kind(String team, String name) {}

  private static final class ObservedUse {
    private final DecayedQuantile milliProcessors = new DecayedQuantile();
    private final DecayedQuantile memoryMebibytes = new DecayedQuantile();
    private int reports;
  }

  private final Map<Kind, ObservedUse> usesByKind =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Kind, ObservedUse> eldest) {
          return size() > MAX_KINDS;
        }
      };

  void recordUse(String team, String name, Resources used) {
    ObservedUse use = usesByKind.computeIfAbsent(new Kind(team, name), unused -> new ObservedUse());
    use.milliProcessors.add(used.milliProcessors());
    use.memoryMebibytes.add(used.memoryMebibytes());
    use.reports++;
  }

  /**
   * Returns the declared size, enlarged where the learned use is larger. Accelerators keep the
   * declared count, which is whole and exact.
   */
  Resources sizeOf(String team, String name, Resources declared) {
    ObservedUse use = usesByKind.get(new Kind(team, name));
    if (use == null || use.reports < MIN_REPORTS) {
      return declared;
    }
    long processors = use.milliProcessors.value();
    long memory = use.memoryMebibytes.value();
    if (processors <= declared.milliProcessors() && memory <= declared.memoryMebibytes()) {
      return declared;
    }
    return new Resources(
        Math.max(declared.milliProcessors(), processors),
        Math.max(declared.memoryMebibytes(), memory),
        declared.accelerators());
  }
}
