package org.hickorypier.measure.start;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * What the kernel has counted for each thread of a process.
 *
 * <p>Immutable. A thread that has ended keeps its last reading, so no figure decreases.
 *
 * @param threads the readings by thread id
 */
record ProcessReading(Map<String, Thread> threads) {

  static final ProcessReading NONE = new ProcessReading(Map.of());

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * One thread.
   *
   * @param group the group of the thread
   * @param nanos its processor time
   * @param wakeUps how often it has waited and gone on (voluntary context switches)
   */
  record Thread(ThreadGroup group, long nanos, long wakeUps) {}

  ProcessReading {
    threads = Map.copyOf(threads);
  }

  /**
   * Reads the counters of a process.
   *
   * @param processDirectory the process's directory in /proc
   * @throws IOException if the process has ended
   */
  ProcessReading next(Path processDirectory) throws IOException {
    Map<String, Thread> read = new HashMap<>(threads);
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(processDirectory.resolve("task"))) {
      for (Path task : tasks) {
        try {
          // The clock ticks of "stat" last 10 ms; "schedstat" counts nanoseconds.
          long nanos = Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]);
          String name = Files.readString(task.resolve("comm")).strip();
          long wakeUps = field(Files.readString(task.resolve("status")), "voluntary_ctxt_switches");
          read.put(task.getFileName().toString(), new Thread(ThreadGroup.of(name), nanos, wakeUps));
        } catch (IOException error) {
          // The thread has ended since the directory was listed; its last reading stands.
          continue;
        }
      }
    }
    return new ProcessReading(read);
  }

  double processorMillis() {
    return threads.values().stream().mapToLong(Thread::nanos).sum() / NANOS_PER_MILLI;
  }

  double processorMillis(ThreadGroup group) {
    return threads.values().stream()
            .filter(thread -> thread.group() == group)
            .mapToLong(Thread::nanos)
            .sum()
        / NANOS_PER_MILLI;
  }

  long wakeUps() {
    return threads.values().stream().mapToLong(Thread::wakeUps).sum();
  }

  /**
   * Returns a number from the text of a status file.
   *
   * @param status lines of names, colons and numbers
   * @param name the name
   */
  static long field(String status, String name) {
    return status
        .lines()
        .filter(line -> line.startsWith(name + ":"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElse(0);
  }
}
