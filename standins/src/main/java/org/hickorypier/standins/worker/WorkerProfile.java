package org.hickorypier.standins.worker;

/**
 * What a stand-in worker is.
 *
 * <p>Immutable.
 *
 * @param name its name
 * @param dataCentre the data centre it stands in
 * @param rack the rack it stands in
 * @param milliProcessors its processors, in thousandths
 * @param memoryMebibytes its memory in MiB
 * @param accelerators its accelerators
 * @param slots how many tasks it runs at once at the most
 */
public record WorkerProfile(
    String name,
    String dataCentre,
    String rack,
    long milliProcessors,
    long memoryMebibytes,
    int accelerators,
    int slots) {

  /**
   * Makes a worker of the usual size: 16 processors, 64 GiB, no accelerators, 8 slots.
   *
   * @param name its name
   * @return the profile, in data centre and rack {@code dc1} and {@code rack1}
   */
  public static WorkerProfile usual(String name) {
    return new WorkerProfile(name, "dc1", "rack1", 16_000, 65_536, 0, 8);
  }
}
