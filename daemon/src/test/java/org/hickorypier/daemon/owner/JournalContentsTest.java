package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.EarlyCancellationCodec;
import org.hickorypier.core.cell.RosterCodec;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.core.estimation.WorkerSpeed;
import org.hickorypier.core.estimation.WorkerSpeedCodec;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionCodec;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;

class JournalContentsTest {

  private static final StepSpec STEP =
      new StepSpec(1, new Resources(1, 1, 0), 500, List.of(), StepFlags.NONE, "", "", 0, "", 0, 0);

  private final List<String> events = new ArrayList<>();

  private JournalContents contents(Map<String, byte[]> values) {
    return new JournalContents(values, (part, event, fields) -> events.add(event));
  }

  @Test
  void speedsAreRestored() {
    List<WorkerSpeed> speeds = List.of(new WorkerSpeed("w", "service", "kind", 7, 1.5, 3));
    byte[] record = WorkerSpeedCodec.encode(speeds);
    assertThat(contents(Map.of(JournalKeys.SPEEDS, record)).speeds()).isEqualTo(speeds);
  }

  /** Guards against takeovers that all fail on a record with an impossible length or amount. */
  @Test
  void alteredRosterIsLeftOutOrRead() {
    WorkerEntry worker =
        new WorkerEntry(
            "w", "s", "h:1", false, 0, new Resources(300, 300, 300), List.of("k"), 1L << 40);
    List<RunKey> runs = List.of(new RunKey(new TaskName("id", 0, 1, 2), 3));
    byte[] roster =
        RosterCodec.encode(List.of(new RosterEntry(worker, 12, 3_400, Optional.of(runs))));
    for (int position = 0; position < roster.length; position++) {
      for (int value : List.of(0, 0x7f, 0x90, 0x9f, 0xc0, 0xc6, 0xd0, 0xd1, 0xd3, 0xdd, 0xff)) {
        byte[] altered = roster.clone();
        altered[position] = (byte) value;
        assertThat(contents(Map.of(JournalKeys.ROSTER, altered)).roster()).hasSizeLessThan(2);
      }
    }
    assertThat(events).contains("unreadable-record");
  }

  /**
   * Guards against a takeover that holds the records and the decoded submissions of all at once.
   */
  @Test
  void recordsAreReleasedAsTheyAreDecoded() {
    Map<String, byte[]> values = new HashMap<>();
    QueueTerms queue = new QueueTerms("queue", "service", 0, 2, 2, 1_000, Optional.empty());
    byte[] progress =
        SubmissionCodec.encodeProgress(
            new SubmissionProgress(SubmissionState.RUNNING, 0, List.of(), Map.of()));
    for (int index = 0; index < 100; index++) {
      SubmissionSpec spec =
          new SubmissionSpec("id" + index, "c", queue, "text", List.of(STEP), 0, 0, 0, 0);
      values.put(JournalKeys.specKey(spec.id()), SubmissionCodec.encode(spec, index));
      values.put(JournalKeys.progressKey(spec.id()), progress);
    }
    values.put(JournalKeys.specKey("dropped"), null);
    values.put(JournalKeys.specKey("unreadable"), new byte[] {9, 9});
    Cell cell =
        new Cell(CellTimings.of(10_000, 3_000, 60_000), null, (part, event, more) -> {}, 2, 0);
    assertThat(contents(values).restore(cell, 0, 0)).isEqualTo(101);
    assertThat(cell.size()).isEqualTo(100);
    assertThat(cell.find("id7").number()).isEqualTo(7);
    assertThat(events).containsExactly("unreadable-record");
    assertThat(values).isEmpty();
  }

  /** Guards against a submission that starts since its owner was lost as it was cancelled. */
  @Test
  void submissionThatWasCancelledEarlyIsRestoredAsCancelled() {
    QueueTerms queue = new QueueTerms("queue", "service", 0, 2, 2, 1_000, Optional.empty());
    SubmissionSpec spec = new SubmissionSpec("id", "c", queue, "text", List.of(STEP), 0, 0, 0, 0);
    Map<String, byte[]> values = new HashMap<>();
    values.put(JournalKeys.specKey("id"), SubmissionCodec.encode(spec, 1));
    values.put(
        JournalKeys.earlyCancellationKey("id"), EarlyCancellationCodec.encode(Map.of("c", 5L)));
    values.put(JournalKeys.earlyCancellationKey("unreadable"), new byte[] {9, 9});
    List<Submission> saved = new ArrayList<>();
    Cell cell =
        new Cell(
            CellTimings.of(10_000, 3_000, 60_000),
            new NoOutput() {
              @Override
              public void save(Submission submission) {
                saved.add(submission);
              }
            },
            (part, event, more) -> {},
            2,
            0);
    contents(values).restore(cell, 0, 0);
    assertThat(saved).containsExactly(cell.find("id"));
    assertThat(saved.get(0).progress().state()).isEqualTo(SubmissionState.CANCELLED);
    assertThat(events).containsExactly("unreadable-record");
    assertThat(values).isEmpty();
  }

  /** Guards against a takeover that fails on a record which the successor can do without. */
  @Test
  void missingAndUnreadableSpeedsAreLearnedAnew() {
    assertThat(contents(Map.of()).speeds()).isEmpty();
    assertThat(events).isEmpty();
    assertThat(contents(Map.of(JournalKeys.SPEEDS, new byte[] {9, 9})).speeds()).isEmpty();
    assertThat(events).containsExactly("unreadable-record");
  }
}
