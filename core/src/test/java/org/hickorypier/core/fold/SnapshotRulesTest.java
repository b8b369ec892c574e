package org.hickorypier.core.fold;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SnapshotRulesTest {

  private static final SnapshotPolicy POLICY = new SnapshotPolicy(600_000, 5_000, 20_000);

  // time and records since the last snapshot, turn
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "nothing due, 599_999, 4_999, 0, false",
    "first by time, 600_000, 0, 0, true",
    "second waits its turn, 600_000, 0, 1, false",
    "first is dead, 620_000, 0, 1, true",
    "many records, 1_000, 5_000, 0, true",
    "many records but not its turn, 1_000, 5_000, 3, false",
    "many records and the first are dead, 60_000, 5_000, 3, true",
  })
  void snapshotIsDue(String name, String millis, String records, int turn, boolean due) {
    assertThat(POLICY.isDue(number(millis), number(records), turn)).isEqualTo(due);
  }

  private static long number(String text) {
    return Long.parseLong(text.replace("_", ""));
  }

  // folded, next, caught up, highest offset of a ready peer
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "empty stream, -1, 0, true, -1, true",
    "read to its end, 9, 10, true, 7, true",
    "all restart and the log goes down after the first page, 499, 500, false, -1, false",
    "began after expiry without snapshot, -1, 510, true, -1, false",
    "paused past the retention, 40, 510, true, -1, false",
    "log is down and nothing known, -1, 0, false, -1, false",
    "log is down and state from a peer, 9, 0, false, 9, true",
    "log is down and another peer knows more, 9, 0, false, 12, false",
    "a moment behind a peer, 9, 10, true, 12, true",
  })
  void instanceIsReady(
      String name, long folded, long next, boolean caughtUp, long readyPeer, boolean ready) {
    assertThat(ReadinessRule.notReadyReason(folded, next, caughtUp, readyPeer).isEmpty())
        .isEqualTo(ready);
  }
}
