package org.hickorypier.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.hickorypier.core.admission.RefusalCertainty.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against "not accepted" for a request that an owner has accepted or may accept. */
class RefusalCertaintyTest {

  private static final int EPOCH = 7;

  static Stream<Arguments> cases() {
    CopyOutcome neverTaken = CopyOutcome.denied(CopyOutcome.NOT_WRITTEN);
    CopyOutcome untold = CopyOutcome.denied(CopyOutcome.NOT_TOLD);
    CopyOutcome earlier = CopyOutcome.denied(EPOCH - 1);
    return Stream.of(
        Arguments.of("sent once", EPOCH, List.of(), Verdict.CERTAIN),
        Arguments.of("sent once, epoch unknown", 0, List.of(), Verdict.CERTAIN),
        Arguments.of("denied without a write", EPOCH, List.of(neverTaken), Verdict.CERTAIN),
        Arguments.of("refused before", 0, List.of(CopyOutcome.refused()), Verdict.CERTAIN),
        Arguments.of("unknown outcome, fenced since", EPOCH, List.of(earlier), Verdict.CERTAIN),
        Arguments.of(
            "unknown outcome, order of owners unknown", 0, List.of(earlier), Verdict.UNKNOWN),
        Arguments.of(
            "unknown outcome at the same epoch",
            EPOCH,
            List.of(CopyOutcome.denied(EPOCH)),
            Verdict.UNKNOWN),
        Arguments.of(
            "refused by an owner that was replaced",
            EPOCH,
            List.of(CopyOutcome.denied(EPOCH + 1)),
            Verdict.UNKNOWN),
        Arguments.of("denied by an earlier version", EPOCH, List.of(untold), Verdict.UNKNOWN),
        Arguments.of(
            "first copy in flight on a broken link",
            EPOCH,
            List.of(CopyOutcome.LOST),
            Verdict.UNKNOWN),
        Arguments.of(
            "first copy without a reply yet",
            EPOCH,
            List.of(earlier, CopyOutcome.OPEN),
            Verdict.OPEN),
        Arguments.of(
            "one copy open, another lost",
            EPOCH,
            List.of(CopyOutcome.OPEN, CopyOutcome.LOST),
            Verdict.UNKNOWN));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void refusalIsCertainOnlyIfNoOtherCopyCanBeAccepted(
      String name, int epoch, List<CopyOutcome> others, Verdict wanted) {
    assertThat(RefusalCertainty.ofRefusal(epoch, others)).isEqualTo(wanted);
  }

  @Test
  void requestThatNoOwnerRefusedIsNeverWrittenOnlyIfEveryCopySaysSo() {
    CopyOutcome notWritten = CopyOutcome.denied(CopyOutcome.NOT_WRITTEN);
    assertThat(RefusalCertainty.isNeverWritten(List.of(notWritten, notWritten))).isTrue();
    assertThat(RefusalCertainty.isNeverWritten(List.of(notWritten, CopyOutcome.denied(1))))
        .isFalse();
    assertThat(RefusalCertainty.isNeverWritten(List.of(CopyOutcome.OPEN))).isFalse();
    assertThat(RefusalCertainty.isNeverWritten(List.of(CopyOutcome.LOST))).isFalse();
  }
}
