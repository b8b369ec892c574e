package org.hickorypier.wire.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;

/**
 * Which instances one instance took for candidates for homes, told to another. Times are told as
 * ages, since two instances' clocks have nothing in common.
 *
 * <p>Immutable.
 *
 * @param knownForMillis how far back the views reach; {@link #EVER} if nothing was missed
 * @param views the views, oldest first
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record HomeViews(long knownForMillis, List<View> views) {

  /** The age of what is known since there were instances at all. */
  public static final long EVER = Long.MAX_VALUE;

  /** Copies the list. */
  public HomeViews {
    views = List.copyOf(views);
  }

  /**
   * One view.
   *
   * @param candidates the instances that new work was homed at
   * @param sinceMillis how long ago it began
   * @param endedMillis how long ago it ended, 0 if it is the present one
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record View(List<String> candidates, long sinceMillis, long endedMillis) {

    /** Checks that nothing is missing, and copies the list. */
    public View {
      Objects.requireNonNull(candidates);
      candidates = List.copyOf(candidates);
    }
  }
}
