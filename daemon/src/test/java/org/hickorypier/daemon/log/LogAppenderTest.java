package org.hickorypier.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.hickorypier.daemon.log.FakeLogService.AppendFault;
import org.hickorypier.daemon.log.LogAppendException.Fate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LogAppenderTest {

  private static final Duration LONG_ENOUGH = Duration.ofSeconds(10);

  private final LogTestBench bench = new LogTestBench();
  private final List<String> told = new ArrayList<>();

  @BeforeEach
  void follow() {
    bench.follower.start(0);
  }

  private void append(String id) {
    bench
        .appender
        .append(LogTestBench.change(id))
        .subscribe()
        .with(
            offset -> told.add(id + " at " + offset),
            error -> told.add(id + " " + ((LogAppendException) error).fate()));
  }

  // An append fails in one of the ways a log can fail. The caller must hear the offset at which the
  // record stands, whatever the call answered, and the record must not be lost. Where the first
  // append took effect unknown to the caller, the record is found by reading and not sent again.
  @ParameterizedTest
  @CsvSource({
    "NONE, 1",
    "REFUSED, 2",
    "SILENT, 2",
    "ERROR_THOUGH_APPENDED, 1",
    "SILENT_THOUGH_APPENDED, 1",
  })
  void callerHearsWhereTheRecordStands(AppendFault fault, int appends) {
    bench.log.failNextAppend(fault);

    append("a");
    bench.timers.advance(LONG_ENOUGH);

    assertThat(told).containsExactly("a at 0");
    assertThat(bench.log.size(LogTestBench.STREAM)).isEqualTo(1);
    assertThat(bench.log.appendCalls()).isEqualTo(appends);
  }

  // The append takes effect, its answer is lost, and the log goes down before the record can be
  // read. The appender cannot know; it repeats the record under its id once the log is back, unless
  // it reads it first. Either way the caller hears of the first one, and the fold sees one change.
  @Test
  void answerLostThenOutage() {
    bench.log.setSilent(true);
    bench.log.failNextAppend(AppendFault.SILENT_THOUGH_APPENDED);
    append("a");
    bench.log.setDown(true);
    bench.timers.advance(Duration.ofHours(1));
    assertThat(told).isEmpty();

    bench.log.setSilent(false);
    bench.log.setDown(false);
    bench.timers.advance(LONG_ENOUGH);

    assertThat(told).containsExactly("a at 0");
    assertThat(bench.seen).first().isEqualTo("0 a");
    assertThat(bench.seen).allMatch(line -> line.endsWith(" a"));
  }

  // The log acknowledges an append and then loses it. The next record stands where the lost one
  // should be. Without the check the caller of the lost one would wait for ever.
  @Test
  void acknowledgedButLostRecordIsRepeated() {
    bench.log.failNextAppend(AppendFault.ACKNOWLEDGED_THEN_LOST);
    append("a");
    bench.timers.advance(LONG_ENOUGH);
    assertThat(told).isEmpty();

    append("b");
    bench.timers.advance(LONG_ENOUGH);

    assertThat(told).containsExactly("b at 0", "a at 1");
  }

  @Test
  void recordsThatGatherGoOutTogetherAndInOrder() {
    for (int index = 0; index < 1_000; index++) {
      append("r" + index);
    }
    bench.timers.advance(LONG_ENOUGH);

    assertThat(told).hasSize(1_000).first().isEqualTo("r0 at 0");
    assertThat(told).last().isEqualTo("r999 at 999");
    assertThat(bench.log.appendCalls()).isEqualTo(5);
    assertThat(bench.log.largestBatch()).isEqualTo(256);
  }

  // The log is down all night while callers go on. What was never sent is refused with "not
  // appended", which lets the caller be told "not run" truly; what was sent is never called that.
  @Test
  void fullQueueAndClosingTellTheFateTruly() {
    append("sent");
    bench.log.setDown(true);
    bench.timers.advance(LONG_ENOUGH);
    append("tried");
    for (int index = 0; index < AppendSettings.DEFAULT.queuedRecords(); index++) {
      append("r" + index);
    }
    assertThat(told).containsExactly("sent at 0", "r1999 NOT_APPENDED");
    assertThat(bench.appender.withdraw("r1998")).isTrue();
    assertThat(bench.appender.withdraw("tried")).isFalse();

    bench.appender.close();

    assertThat(told).contains("tried UNKNOWN", "r1998 NOT_APPENDED", "r1000 NOT_APPENDED");
    assertThat(bench.appender.pendingCount()).isZero();
    assertThat(told).doesNotContain("r1000 " + Fate.UNKNOWN);
  }

  @Test
  void sameIdJoinsThePendingRecord() {
    bench.log.setDown(true);
    append("a");
    append("a");
    bench.log.setDown(false);
    bench.timers.advance(LONG_ENOUGH);

    assertThat(told).containsExactly("a at 0", "a at 0");
    assertThat(bench.log.size(LogTestBench.STREAM)).isEqualTo(1);
  }

  @Test
  void recordKnownFromSnapshotIsSettled() {
    bench.log.setDown(true);
    append("a");
    append("b");

    bench.appender.settleFrom(id -> id.equals("a") ? OptionalLong.of(4) : OptionalLong.empty());

    assertThat(told).containsExactly("a at 4");
    assertThat(bench.appender.pendingCount()).isEqualTo(1);
  }
}
