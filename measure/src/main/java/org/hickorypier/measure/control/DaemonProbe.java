package org.hickorypier.measure.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.measure.fleet.EntryProcess;
import org.hickorypier.measure.fleet.Fleet;
import org.hickorypier.measure.fleet.FleetException;

/**
 * Reads what daemons spend: their metrics, {@code /proc}, the kernel's socket counters and, by
 * {@code jcmd}, the bytes of their live objects.
 *
 * <p>Holds no state but the fleet. Needs Linux, {@code ss} and a JDK.
 */
final class DaemonProbe {

  /** Linux counts processor time for user programs in hundredths of a second. */
  private static final double TICKS_A_SECOND = 100;

  private static final long PAGE_BYTES = 4_096;

  // Fields of /proc/PID/stat after the name in parentheses, which may hold blanks.
  private static final int USER_TICKS = 11;
  private static final int SYSTEM_TICKS = 12;

  private final Fleet fleet;

  DaemonProbe(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Reads all running daemons, in the order of their names. */
  List<DaemonReading> readAll() throws FleetException {
    String sockets = output("ss", "-tinpHO", "state", "established");
    List<DaemonReading> readings = new ArrayList<>();
    for (EntryProcess entry : fleet.entries()) {
      readings.add(read(entry, sockets));
    }
    return readings;
  }

  /** Has a daemon collect its garbage and returns the bytes that are left. */
  long liveBytes(EntryProcess entry) throws FleetException {
    String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
    String text =
        output(jcmd, String.valueOf(entry.process().id()), "GC.class_histogram").stripTrailing();
    String[] words = text.substring(text.lastIndexOf('\n') + 1).strip().split("\\s+");
    try {
      return Long.parseLong(words[words.length - 1]);
    } catch (NumberFormatException error) {
      throw new FleetException("jcmd gave no total of live bytes", error);
    }
  }

  private DaemonReading read(EntryProcess entry, String sockets) throws FleetException {
    long id = entry.process().id();
    Path directory = Path.of("/proc", String.valueOf(id));
    try {
      String stat = Files.readString(directory.resolve("stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
      String[] memory = Files.readString(directory.resolve("statm")).split(" ");
      return new DaemonReading(
          System.nanoTime(),
          ticks / TICKS_A_SECOND,
          Long.parseLong(memory[1]) * PAGE_BYTES,
          MetricsText.counters(fleet.metrics(entry)),
          SocketCounters.parse(sockets, id));
    } catch (IOException error) {
      throw new FleetException("/proc of " + entry.name() + " cannot be read", error);
    }
  }

  private static String output(String... command) throws FleetException {
    try {
      Process process =
          new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
      return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException error) {
      throw new FleetException(command[0] + " cannot be run", error);
    }
  }
}
