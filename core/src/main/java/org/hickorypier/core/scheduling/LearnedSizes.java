package org.hickorypier.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hickorypier.core.model.Resources;

/**
 * What tasks of each team and name really use.
 *
 * <p>Made for declared sizes that are far off. Tasks that use more than they reserve overflow their
 * worker and slow or kill the tasks beside them; so work reserves what it declares or what nineteen
 * of twenty of its kind used, whichever is more. It never reserves less than declared: reports lag
 * and miss peaks.
 *
 * <p>Not thread safe.
 */
final class LearnedSizes {

  /** Names kept; the least recently used go first. Some 8 MB at the most. */
  private static final int MAX_KINDS = 4_096;

  /** Reports before a size is used, so one odd task does not enlarge all. */
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

  /** Returns the declared size, or more where more was seen. Accelerators are whole and exact. */
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
