package org.hickorypier.wire.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Objects;

/**
 * What one team uses at one instance.
 *
 * <p>Immutable.
 *
 * @param team the team's name
 * @param running its running tasks
 * @param waiting its waiting tasks
 * @param milliProcessors thousandths of processors reserved for it
 * @param memoryMebibytes MiB reserved for it
 * @param accelerators accelerators reserved for it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TeamUse(
    String team,
    int running,
    int waiting,
    long milliProcessors,
    long memoryMebibytes,
    int accelerators) {

  /** Checks that the name is there. */
  public TeamUse {
    Objects.requireNonNull(team);
  }
}
