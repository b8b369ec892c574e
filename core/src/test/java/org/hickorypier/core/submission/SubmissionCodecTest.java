package org.hickorypier.core.submission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.wire.UndecodableException;
import org.junit.jupiter.api.Test;

class SubmissionCodecTest {

  private static final SubmissionSpec SPEC =
      new SubmissionSpec(
          "5c0e7a21d94b36f8",
          "customer",
          new QueueTerms(
              "queue", "service", 1, 3, 2.2, 1_000, Optional.of(new AdviceTerms(440, 6.3, 2_500))),
          "text",
          List.of(
              new StepSpec(
                  4,
                  new Resources(500, 256, 0),
                  900,
                  List.of(),
                  new StepFlags(true, true, false, true, false, true),
                  "a",
                  "r1-3",
                  2,
                  "image",
                  40,
                  1),
              new StepSpec(
                  20,
                  new Resources(2_000, 1_024, 1),
                  7_000,
                  List.of(0),
                  new StepFlags(false, false, true, false, true, false),
                  "",
                  "",
                  0,
                  "",
                  0,
                  0)),
          3,
          1_700_000_000_000L,
          2_000,
          1_700_000_000_001L);

  @Test
  void specificationSurvivesRoundTrip() throws UndecodableException {
    assertThat(SubmissionCodec.decode(SubmissionCodec.encode(SPEC))).isEqualTo(SPEC);
  }

  @Test
  void progressSurvivesRoundTrip() throws UndecodableException {
    BitSet done = new BitSet();
    done.set(3);
    SubmissionProgress progress =
        new SubmissionProgress(
            SubmissionState.FAILED, 17, List.of(done, new BitSet()), Map.of(2, List.of(1, 1_001)));

    assertThat(SubmissionCodec.decodeProgress(SubmissionCodec.encodeProgress(progress)))
        .isEqualTo(progress);
  }

  @Test
  void lostRunsSurviveRoundTrip() throws UndecodableException {
    CrashRecord crashes = new CrashRecord(List.of(1, 2), List.of(1_003), List.of(1_004), 2_001, 1);
    SubmissionProgress progress =
        new SubmissionProgress(
            SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of(), Map.of(4, crashes));

    assertThat(SubmissionCodec.decodeProgress(SubmissionCodec.encodeProgress(progress)))
        .isEqualTo(progress);
  }

  /** Guards against a journal that grows with tasks whose runs were never lost. */
  @Test
  void progressWithoutLostRunsTakesNoMoreBytes() {
    SubmissionProgress progress =
        new SubmissionProgress(SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of());

    assertThat(SubmissionCodec.encodeProgress(progress)).hasSize(6);
  }

  @Test
  void lostRunAndItsSuccessorTakeEightBytes() {
    CrashRecord crashes = new CrashRecord(List.of(1), List.of(), List.of(), 2, 0);
    SubmissionProgress progress =
        new SubmissionProgress(
            SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of(), Map.of(0, crashes));

    assertThat(SubmissionCodec.encodeProgress(progress)).hasSize(14);
  }

  @Test
  void weightOfLostRunSurvivesRoundTripAndTakesThreeBytes() throws UndecodableException {
    CrashRecord crashes = new CrashRecord(List.of(1), List.of(), List.of(), 2, 0, Map.of(1, 27));
    SubmissionProgress progress =
        new SubmissionProgress(
            SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of(), Map.of(0, crashes));
    byte[] encoded = SubmissionCodec.encodeProgress(progress);

    assertThat(encoded).hasSize(17);
    assertThat(SubmissionCodec.decodeProgress(encoded)).isEqualTo(progress);
  }

  @Test
  void movesSurviveRoundTripWithAndWithoutLostRuns() throws UndecodableException {
    CrashRecord crashes = new CrashRecord(List.of(1), List.of(), List.of(), 2, 0);
    for (Map<Integer, CrashRecord> lost :
        List.of(Map.<Integer, CrashRecord>of(), Map.of(0, crashes))) {
      SubmissionProgress progress =
          new SubmissionProgress(
              SubmissionState.RUNNING,
              0,
              List.of(new BitSet()),
              Map.of(),
              lost,
              Map.of(3, new MoveRecord(2, false), 4, new MoveRecord(1, true)));

      assertThat(SubmissionCodec.decodeProgress(SubmissionCodec.encodeProgress(progress)))
          .isEqualTo(progress);
    }
  }

  /** Guards against a journal that grows by more than a few bytes with each move. */
  @Test
  void movesOfTaskTakeFiveBytes() {
    assertThat(SubmissionCodec.encodeProgress(movedOnce(0))).hasSize(6 + 5);
  }

  private static SubmissionProgress movedOnce(int position) {
    return new SubmissionProgress(
        SubmissionState.RUNNING,
        0,
        List.of(new BitSet()),
        Map.of(),
        Map.of(),
        Map.of(position, new MoveRecord(1, true)));
  }

  @Test
  void progressOfEarlierVersionKnowsNoMoves() throws UndecodableException {
    byte[] withMoves = SubmissionCodec.encodeProgress(movedOnce(0));

    assertThat(SubmissionCodec.decodeProgress(Arrays.copyOf(withMoves, 6)).moves()).isEmpty();
  }

  /** Guards against a task that counts as moved some impossible number of times. */
  @Test
  void movesOutOfRangeAreRefusedWithValueAndRange() {
    byte[] bytes = SubmissionCodec.encodeProgress(movedOnce(0));
    byte[] tooMany = bytes.clone();
    tooMany[bytes.length - 2] = 101;
    byte[] negative = bytes.clone();
    negative[bytes.length - 2] = -1;
    byte[] badPosition = bytes.clone();
    badPosition[bytes.length - 3] = -1;
    byte[] manyTasks = Arrays.copyOf(bytes, 11);
    manyTasks[7] = (byte) 0xde;
    manyTasks[8] = 0x03;
    manyTasks[9] = (byte) 0xe9;

    assertRefused(tooMany, "moves of a task must be from 0 to 100, not 101");
    assertRefused(negative, "moves of a task must be from 0 to 100, not -1");
    assertRefused(badPosition, "position of a moved task must be from 0 to 2147483647, not -1");
    assertRefused(manyTasks, "number of moved tasks must be from 0 to 1000, not 1001");
  }

  private static void assertRefused(byte[] progress, String message) {
    assertThatThrownBy(() -> SubmissionCodec.decodeProgress(progress))
        .isInstanceOf(UndecodableException.class)
        .hasMessageContaining(message);
  }

  /**
   * Guards against a takeover that fails because another program corrupted a record in the store:
   * the record must be reported as undecodable, which costs only its own submission.
   */
  @Test
  void truncatedSpecificationIsUndecodable() {
    byte[] whole = SubmissionCodec.encode(SPEC);
    for (int length = 0; length < whole.length; length++) {
      byte[] truncated = Arrays.copyOf(whole, length);
      assertThatThrownBy(() -> SubmissionCodec.decode(truncated))
          .isInstanceOf(UndecodableException.class);
    }
  }

  /**
   * Guards against a takeover that fails, or a process that ends, because of a record that
   * announces an impossible length or amount.
   */
  @Test
  void alteredRecordsAreUndecodableOrRead() {
    CrashRecord crashes = new CrashRecord(List.of(1), List.of(2), List.of(), 3, 0, Map.of(1, 27));
    final SubmissionProgress progress =
        new SubmissionProgress(
            SubmissionState.RUNNING,
            0,
            List.of(BitSet.valueOf(new long[] {5})),
            Map.of(1, List.of(2)),
            Map.of(0, crashes),
            Map.of(0, new MoveRecord(1, true)));
    byte[] huge = {(byte) 0xc6, 0x7f, -1, -1, -1};
    forEachAlteration(SubmissionCodec.encode(SPEC, 7), huge, SubmissionCodec::decode);
    forEachAlteration(SubmissionCodec.encode(SPEC, 7), huge, SubmissionCodec::decodeNumber);
    forEachAlteration(SubmissionCodec.encode(SPEC, 7), huge, SubmissionCodec::decodeCustomer);
    forEachAlteration(
        SubmissionCodec.encodeProgress(progress), huge, SubmissionCodec::decodeProgress);
  }

  /** Decodes the bytes with each single one altered, and with others put over them. */
  private static void forEachAlteration(byte[] bytes, byte[] others, Decoder decoder) {
    for (int position = 0; position < bytes.length; position++) {
      for (int value : List.of(0, 0x7f, 0x90, 0x9f, 0xc0, 0xc6, 0xcf, 0xd3, 0xdd, 0xdf, 0xff)) {
        byte[] altered = bytes.clone();
        altered[position] = (byte) value;
        assertUndecodableOrRead(altered, decoder);
      }
      byte[] overwritten = Arrays.copyOf(bytes, Math.max(bytes.length, position + others.length));
      System.arraycopy(others, 0, overwritten, position, others.length);
      assertUndecodableOrRead(overwritten, decoder);
    }
  }

  private static void assertUndecodableOrRead(byte[] bytes, Decoder decoder) {
    Throwable error = catchThrowable(() -> decoder.decode(bytes));
    if (error != null) {
      assertThat(error).as(Arrays.toString(bytes)).isInstanceOf(UndecodableException.class);
    }
  }

  @FunctionalInterface
  private interface Decoder {
    Object decode(byte[] bytes) throws UndecodableException;
  }

  @Test
  void criticalPathFollowsDependencies() {
    assertThat(SPEC.criticalPathMillis()).isEqualTo(7_900);
  }

  @Test
  void numberIsEncodedWithSpecification() throws UndecodableException {
    byte[] numbered = SubmissionCodec.encode(SPEC, 4_711);
    assertThat(SubmissionCodec.decodeNumber(numbered)).isEqualTo(4_711);
    assertThat(SubmissionCodec.decode(numbered)).isEqualTo(SPEC);
    assertThat(SubmissionCodec.decodeNumber(SubmissionCodec.encode(SPEC))).isZero();
  }
}
