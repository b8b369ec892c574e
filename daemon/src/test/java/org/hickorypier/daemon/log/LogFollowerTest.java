package org.hickorypier.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LogFollowerTest {

  private static final Duration LAG = Duration.ofMillis(20);
  private static final Duration BOUND = Duration.ofSeconds(8);

  private final LogTestBench bench = new LogTestBench();

  @Test
  void recordsComeInOrderAndTheEndIsKnown() {
    bench.put("a");
    assertThat(bench.follower.isCaughtUp()).isFalse();

    bench.follower.start(0);
    bench.put("b");

    assertThat(bench.seen).containsExactly("0 a", "1 b");
    assertThat(bench.follower.isCaughtUp()).isTrue();
    assertThat(bench.follower.nextOffset()).isEqualTo(2);
  }

  // An operator's change is in the log, but this instance's connection to the log fails for a
  // minute. It hears of the change once the log is back, once, and knows meanwhile for how long it
  // has been deaf. Without the retry it would stay deaf until morning.
  @Test
  void outageIsRiddenOutAndItsLengthIsKnown() {
    bench.follower.start(0);
    bench.put("a");
    bench.log.setDown(true);
    bench.timers.advance(Duration.ofMinutes(1));
    assertThat(bench.follower.millisSinceHeard()).isEqualTo(60_000);

    bench.log.setDown(false);
    bench.put("b");
    bench.timers.advance(BOUND);

    assertThat(bench.seen).containsExactly("0 a", "1 b");
    assertThat(bench.follower.millisSinceHeard()).isLessThan(BOUND.toMillis());
  }

  /** Guards against a quiet log that passes for one that does not answer, just before it does. */
  @Test
  void quietLogOwesNoAnswer() {
    bench.log.setLag(LAG);
    bench.follower.start(0);
    bench.timers.advance(BOUND);

    for (int step = 0; step < 2_000; step++) {
      bench.timers.advance(Duration.ofMillis(10));
      assertThat(bench.follower.millisOverdue()).isLessThanOrEqualTo(LAG.toMillis());
    }
  }

  @Test
  void logThatAnswersNoReadIsOverdue() {
    bench.follower.start(0);
    bench.put("a");
    bench.log.setSilent(true);
    bench.timers.advance(Duration.ofSeconds(30));
    assertThat(bench.follower.millisOverdue()).isGreaterThan(25_000);

    bench.log.setSilent(false);
    bench.timers.advance(BOUND);
    assertThat(bench.follower.millisOverdue()).isZero();
  }

  // The connection goes silent for good in the middle of a read: no error and no answer. New
  // connections work. The read is given up after its time and the record arrives with the next one.
  @Test
  void readWithoutAnyAnswerIsGivenUp() {
    bench.follower.start(0);
    bench.log.setSilent(true);
    bench.timers.advance(Duration.ofMillis(1));
    bench.log.setSilent(false);
    bench.put("a");
    assertThat(bench.seen).isEmpty();

    bench.timers.advance(BOUND);

    assertThat(bench.seen).containsExactly("0 a");
  }

  // A newer program writes a record that this one cannot read, or a disk spoils one. The daemon
  // must neither die of it, nor stop there for ever, nor pass over it without a word.
  @Test
  void unreadableRecordIsReportedAndTheStreamGoesOn() {
    bench.follower.start(0);
    bench.put("a");
    bench.log.put(LogTestBench.STREAM, new byte[] {(byte) 0x92, (byte) 0xa3, 'n', 'e', 'w', 1});
    bench.log.put(LogTestBench.STREAM, new byte[0]);
    bench.put("b");

    assertThat(bench.seen).containsExactly("0 a", "1 unreadable", "2 unreadable", "3 b");
    assertThat(bench.follower.unreadableCount()).isEqualTo(2);
  }

  // An instance was paused for longer than the log keeps records. It asks for an offset that is
  // gone, is told so, and goes on at the oldest one; the fold then waits for a snapshot.
  @Test
  void expiredOffsetLeadsToTheOldestOne() {
    for (String id : new String[] {"a", "b", "c"}) {
      bench.put(id);
    }
    bench.log.expireBefore(LogTestBench.STREAM, 2);

    bench.follower.start(0);

    assertThat(bench.seen).containsExactly("expired 0 to 2", "2 c");
  }

  // The log was restored from an old copy and gives out offsets again. Folding them would mix two
  // histories. The follower takes nothing and counts as deaf.
  @Test
  void offsetsThatGoBackAreNotTaken() {
    bench.put("a");

    bench.follower.start(5);
    bench.timers.advance(BOUND);

    assertThat(bench.seen).isEmpty();
    assertThat(bench.follower.failureCount()).isPositive();
    assertThat(bench.follower.millisSinceHeard()).isEqualTo(Long.MAX_VALUE);
  }

  @Test
  void stoppedFollowerReadsNoMore() {
    bench.follower.start(0);
    bench.follower.stop();
    final int calls = bench.log.readCalls();

    bench.put("a");
    bench.timers.advance(BOUND);

    assertThat(bench.seen).isEmpty();
    assertThat(bench.log.readCalls()).isEqualTo(calls);
  }

  @Test
  void seekReadsAgainFromThere() {
    bench.put("a");
    bench.put("b");
    bench.follower.start(0);

    bench.follower.seek(1);

    assertThat(bench.seen).containsExactly("0 a", "1 b", "1 b");
  }
}
