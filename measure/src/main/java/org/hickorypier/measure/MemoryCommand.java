package org.hickorypier.measure;

import java.lang.ref.Reference;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.Options;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionCodec;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.hickorypier.wire.UndecodableException;

/**
 * Measures the heap that submissions take which wait for their time: at an instance that stands by
 * and holds their records, at the owner, and at the peak of a takeover, which replaces the records
 * by submissions one by one.
 *
 * <p>Holds no state, so safe to use from any thread.
 */
final class MemoryCommand implements MeasureCommand {

  private static final int STEPS = 2;
  private static final int TASKS = 25;
  private static final int SAMPLES = 10;

  /** The serial collector leaves some dead objects in three of four full collections. */
  private static final int COLLECTIONS = 4;

  private static final double AIM_PEAK_RATIO = 1.2;

  private static final SubmissionProgress NO_PROGRESS =
      new SubmissionProgress(SubmissionState.QUEUED, 0, List.of(), Map.of());

  @Override
  public String name() {
    return "memory";
  }

  @Override
  public String description() {
    return "heap of submissions that wait: at a standby, at the owner, at the peak of a takeover";
  }

  @Override
  public Options options() {
    Options options = new Options();
    options.addOption(null, "submissions", true, "numbers of submissions, separated by commas");
    options.addOption(null, "text", true, "bytes of the text of each");
    return options;
  }

  @Override
  public void run(Arguments arguments, Report report)
      throws BadArgumentException, MeasureException {
    List<Integer> counts =
        arguments.numbers("submissions", List.of(1_000, 5_000, 20_000), SAMPLES, 40_000);
    int textBytes = arguments.number("text", 4_000, 0, 4_000);
    // Loads the classes, which would count otherwise.
    measure(SAMPLES, textBytes, new Report(null));
    boolean met = true;
    for (int count : counts) {
      met &= measure(count, textBytes, report);
    }
    report.aim("memory.peak", met);
  }

  /** Returns whether the peak of a takeover is close to what the owner holds. */
  private static boolean measure(int count, int textBytes, Report report) throws MeasureException {
    final long before = usedBytes();
    Map<String, byte[]> records = new HashMap<>();
    for (int index = 0; index < count; index++) {
      records.put("id" + index, SubmissionCodec.encode(spec("id" + index, textBytes), index));
    }
    final long standby = usedBytes() - before;
    Cell cell =
        new Cell(CellTimings.of(10_000, 3_000, 60_000), null, (part, event, more) -> {}, 2, 0);
    long peak = standby;
    int restored = 0;
    for (String id : List.copyOf(records.keySet())) {
      restore(cell, records.remove(id));
      restored++;
      if (restored % (count / SAMPLES) == 0) {
        peak = Math.max(peak, usedBytes() - before);
      }
    }
    final long owner = usedBytes() - before;
    Reference.reachabilityFence(cell);
    Reference.reachabilityFence(records);
    String prefix = "memory." + count + ".";
    report.add(prefix + "standby", (double) standby / count, "bytes");
    report.add(prefix + "owner", (double) owner / count, "bytes");
    report.add(prefix + "takeover.peak", (double) peak / count, "bytes");
    return peak <= AIM_PEAK_RATIO * owner;
  }

  private static void restore(Cell cell, byte[] record) throws MeasureException {
    try {
      SubmissionSpec spec = SubmissionCodec.decode(record);
      cell.restore(spec, SubmissionCodec.decodeNumber(record), NO_PROGRESS, 0, 0);
    } catch (UndecodableException error) {
      throw new MeasureException("cannot decode a record", error);
    }
  }

  private static SubmissionSpec spec(String id, int textBytes) {
    QueueTerms queue = new QueueTerms("later", "service", 1, 4, 2, 1_000, Optional.empty());
    StepSpec step =
        new StepSpec(
            TASKS,
            new Resources(1_700, 1_000, 0),
            3_400,
            List.of(),
            StepFlags.NONE,
            "",
            "",
            0,
            "",
            0,
            0);
    List<StepSpec> steps = Collections.nCopies(STEPS, step);
    return new SubmissionSpec(
        id, "customer", queue, "t".repeat(textBytes), steps, 1, 3_600_000, 0, 0);
  }

  private static long usedBytes() {
    for (int collection = 0; collection < COLLECTIONS; collection++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
