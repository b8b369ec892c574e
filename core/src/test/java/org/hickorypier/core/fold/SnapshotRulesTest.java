package org.hickorypier.core.fold;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SnapshotRulesTest {

  private static final SnapshotPolicy POLICY = new SnapshotPolicy(600_000, 5_000, 20_000);

  // The columns are the milliseconds and records since the last snapshot, and the rank.
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "nothing due, 599_999, 4_999, 0, false",
    "first instance after the interval, 600_000, 0, 0, true",
    "second instance waits for its delay, 600_000, 0, 1, false",
    "first instance has failed, 620_000, 0, 1, true",
    "many records, 1_000, 5_000, 0, true",
    "many records during the delay, 1_000, 5_000, 3, false",
    "many records and the first instances have failed, 60_000, 5_000, 3, true",
  })
  void snapshotIsDue(String name, String millis, String records, int rank, boolean due) {
    assertThat(POLICY.isDue(number(millis), number(records), rank)).isEqualTo(due);
  }

  private static long number(String text) {
    return Long.parseLong(text.replace("_", ""));
  }

  // The columns are the folded and the next offset, whether the follower has caught up, and the
  // highest offset of a ready peer.
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "empty stream, -1, 0, true, -1, true",
    "stream read to its end, 9, 10, true, 7, true",
    "all instances restart and the log fails after the first page, 499, 500, false, -1, false",
    "records expired before the start and no snapshot, -1, 510, true, -1, false",
    "paused past the retention, 40, 510, true, -1, false",
    "log is unavailable and no state, -1, 0, false, -1, false",
    "log is unavailable and state of a ready peer, 9, 0, false, 9, true",
    "log is unavailable and a ready peer is ahead, 9, 0, false, 12, false",
    "caught up but behind a ready peer, 9, 10, true, 12, true",
  })
  void instanceIsReady(
      String name,
      long foldedOffset,
      long nextOffset,
      boolean caughtUp,
      long readyPeerOffset,
      boolean ready) {
    assertThat(
            ReadinessRule.notReadyReason(foldedOffset, nextOffset, caughtUp, readyPeerOffset)
                .isEmpty())
        .isEqualTo(ready);
  }
}
