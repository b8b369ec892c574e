package org.hickorypier.standins.main;

import org.apache.commons.cli.ParseException;
import org.hickorypier.standins.worker.WorkerProfile;

/** The flags that tell the size of a worker. Stateless. */
final class WorkerFlags {

  private static final int MILLI = 1_000;
  private static final WorkerProfile USUAL = WorkerProfile.usual("");

  private WorkerFlags() {}

  static Flags sizes(Flags flags) {
    return flags
        .flag("processors", "count", "processors")
        .flag("memory-mebibytes", "MiB", "memory")
        .flag("accelerators", "count", "accelerators")
        .flag("slots", "count", "tasks at once at the most");
  }

  static WorkerProfile profile(Flags flags, String name, String dataCentre, String rack)
      throws ParseException {
    return new WorkerProfile(
        name,
        dataCentre,
        rack,
        (long) flags.number("processors", (int) (USUAL.milliProcessors() / MILLI)) * MILLI,
        flags.number("memory-mebibytes", (int) USUAL.memoryMebibytes()),
        flags.number("accelerators", USUAL.accelerators()),
        flags.number("slots", USUAL.slots()));
  }
}
