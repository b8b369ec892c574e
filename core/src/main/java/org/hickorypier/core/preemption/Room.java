package org.hickorypier.core.preemption;

/**
 * An amount of free capacity; negative where more is taken or reserved than there is.
 *
 * <p>Immutable.
 *
 * @param milliProcessors thousandths of a processor
 * @param memoryMebibytes memory in MiB
 * @param accelerators number of accelerators
 */
public record Room(long milliProcessors, long memoryMebibytes, long accelerators) {

  /** The room under a limit that does not bind; sums with task sizes do not overflow. */
  public static final Room UNLIMITED =
      new Room(Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4);
}
