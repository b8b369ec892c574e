package org.hickorypier.daemon.work;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.junit.jupiter.api.Test;

/** When a caller first asked, over its tries. */
class FirstTriesTest {

  private static final long KEEP_MILLIS = 60_000;
  private final FirstTries tries = new FirstTries(KEEP_MILLIS, 2);

  /** Guards against a caller who comes back and counts as the newest of all. */
  @Test
  void callerWhoComesBackKeepsItsTime() {
    assertThat(firstTry("r1", 1_000)).isEqualTo(1_000);
    assertThat(firstTry("r1", 40_000)).isEqualTo(1_000);
    assertThat(firstTry("r1", 80_000)).isEqualTo(1_000);
  }

  @Test
  void callerWhoStaysAwayStartsAnew() {
    firstTry("r1", 1_000);

    assertThat(firstTry("r1", 1_001 + KEEP_MILLIS)).isEqualTo(1_001 + KEEP_MILLIS);
  }

  @Test
  void whoWasNotHeardForLongestGoesFirst() {
    firstTry("r1", 1_000);
    firstTry("r2", 2_000);
    firstTry("r1", 3_000);
    firstTry("r3", 4_000);

    assertThat(firstTry("r1", 5_000)).isEqualTo(1_000);
    assertThat(firstTry("r2", 6_000)).isEqualTo(6_000);
  }

  @Test
  void tellsForHowLongCallersHaveBeenAsking() {
    firstTry("r1", 1_000);

    assertThat(tries.triedForMillis(new WorkKey("norte", "r1"), 4_000)).isEqualTo(3_000);
    assertThat(tries.triedForMillis(new WorkKey("norte", "r2"), 4_000)).isZero();
  }

  private long firstTry(String requestId, long now) {
    WorkItem item =
        new WorkItem(
            new WorkKey("norte", requestId),
            WorkClass.REQUEST,
            "",
            new Resources(100, 64, 0),
            1,
            true,
            now,
            now + 1_000,
            100);
    return tries.note(new Submission(item, new byte[0]), now).item().firstTriedMillis();
  }
}
