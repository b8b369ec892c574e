package org.hickorypier.core.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.wire.record.JournalRecord;
import org.hickorypier.wire.record.JournalRecord.Accepted;
import org.hickorypier.wire.record.JournalRecord.Attempt;
import org.hickorypier.wire.record.JournalRecord.AttemptVoid;
import org.hickorypier.wire.record.JournalRecord.Cancelled;
import org.hickorypier.wire.record.JournalRecord.Ended;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class JournalTest {

  private static final String TEAM = "labels";
  private static final String ID = "job-1";
  private static final WorkKey KEY = new WorkKey(TEAM, ID);

  private static Accepted accepted(boolean job, boolean idempotent) {
    return new Accepted(
        TEAM, ID, job, "BATCH", "print", 1, 1, 0, 1, idempotent, 1, 1, new byte[] {1});
  }

  private static Attempt attempt(int number, String owner) {
    return new Attempt(TEAM, ID, 0, number, owner, "worker-1", number);
  }

  private static AttemptVoid voided(int number) {
    return new AttemptVoid(TEAM, ID, 0, number);
  }

  private static Ended ended(int number, Outcome outcome) {
    return new Ended(TEAM, ID, 0, number, outcome.name(), "");
  }

  private static Cancelled cancelled() {
    return new Cancelled(TEAM, ID, "by the caller");
  }

  private static Journal fold(List<? extends JournalRecord> records) {
    Journal journal = new Journal();
    records.forEach(record -> journal.apply(journal.offset() + 1, record));
    return journal;
  }

  static Stream<Arguments> cases() {
    Accepted job = accepted(true, true);
    return Stream.of(
        Arguments.of(
            "attempt of work that was not accepted",
            List.of(),
            attempt(1, "a#1"),
            Verdict.CONFLICT,
            null),
        Arguments.of("first attempt", List.of(job), attempt(1, "a#1"), Verdict.APPLIED, null),
        Arguments.of(
            "second home attempts while an attempt is open",
            List.of(job, attempt(1, "a#1")),
            attempt(1, "b#1"),
            Verdict.CONFLICT,
            null),
        Arguments.of(
            "next attempt while one is open",
            List.of(job, attempt(1, "a#1")),
            attempt(2, "b#1"),
            Verdict.CONFLICT,
            null),
        Arguments.of(
            "closed attempt is appended again",
            List.of(job, attempt(1, "a#1"), voided(1)),
            attempt(1, "a#1"),
            Verdict.CONFLICT,
            null),
        Arguments.of(
            "attempt after cancellation",
            List.of(job, cancelled()),
            attempt(1, "a#1"),
            Verdict.CONFLICT,
            Outcome.NOT_RUN),
        Arguments.of(
            "completion after cancellation while running",
            List.of(job, attempt(1, "a#1"), cancelled()),
            ended(1, Outcome.COMPLETED),
            Verdict.APPLIED,
            Outcome.COMPLETED),
        Arguments.of(
            "cancellation after completion",
            List.of(job, attempt(1, "a#1"), ended(1, Outcome.COMPLETED)),
            cancelled(),
            Verdict.CONFLICT,
            Outcome.COMPLETED),
        Arguments.of(
            "void attempt after cancellation",
            List.of(job, attempt(1, "a#1"), cancelled()),
            voided(1),
            Verdict.APPLIED,
            Outcome.NOT_RUN),
        Arguments.of(
            "end of an earlier attempt",
            List.of(job, attempt(1, "a#1"), voided(1), attempt(2, "b#1")),
            ended(1, Outcome.COMPLETED),
            Verdict.CONFLICT,
            null),
        Arguments.of(
            "end without an attempt while one is open",
            List.of(job, attempt(1, "a#1")),
            ended(0, Outcome.NOT_RUN),
            Verdict.CONFLICT,
            null),
        Arguments.of(
            "cancellation between two attempts",
            List.of(job, attempt(1, "a#1"), ended(1, Outcome.FAILED)),
            cancelled(),
            Verdict.APPLIED,
            Outcome.FAILED),
        Arguments.of(
            "abandoned after an attempt with unknown outcome",
            List.of(job, attempt(1, "a#1"), ended(1, Outcome.UNKNOWN)),
            ended(0, Outcome.NOT_RUN),
            Verdict.APPLIED,
            Outcome.UNKNOWN),
        Arguments.of(
            "second attempt of work that is not idempotent, after unknown outcome",
            List.of(accepted(false, false), attempt(1, "a#1"), ended(1, Outcome.UNKNOWN)),
            attempt(2, "b#1"),
            Verdict.CONFLICT,
            Outcome.UNKNOWN));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("cases")
  void verdictAndOutcomeAfterTheLastRecord(
      String name,
      List<JournalRecord> before,
      JournalRecord last,
      Verdict verdict,
      Outcome outcome) {
    Journal journal = fold(before);

    assertThat(journal.apply(before.size(), last)).isEqualTo(verdict);
    assertThat(journal.find(KEY).flatMap(JournalEntry::outcome).orElse(null)).isEqualTo(outcome);
  }

  // Guards against a double start and an untrue "not run". Two homes and a caller append records in
  // random order, appends are repeated late, and an instance starts an attempt only after it has
  // read it back as applied. Of work that is not idempotent, at most one attempt that is not void
  // may start; the outcome "not run" must mean that no attempt was reported to have run.
  @Property(tries = 2000, seed = "21")
  void startsAtMostOnceAndReportsNotRunCorrectly(@ForAll Random random) {
    boolean idempotent = random.nextBoolean();
    List<JournalRecord> log = new ArrayList<>();
    Journal journal = new Journal();
    Set<Integer> begun = new HashSet<>();
    Set<Integer> ran = new HashSet<>();
    log.add(accepted(idempotent, idempotent));
    journal.apply(0, log.get(0));
    for (int step = 1; step < 40; step++) {
      JournalRecord next =
          random.nextInt(4) == 0 ? log.get(random.nextInt(log.size())) : randomRecord(random);
      boolean openBefore = journal.find(KEY).orElseThrow().hasOpenAttempt();
      Verdict verdict = journal.apply(step, next);
      log.add(next);
      if (verdict == Verdict.APPLIED && next instanceof Attempt attempt) {
        assertThat(openBefore).isFalse();
        assertThat(begun.add(attempt.attempt())).isTrue();
      }
      if (verdict == Verdict.APPLIED && next instanceof AttemptVoid voided) {
        begun.remove(voided.attempt());
      }
      if (verdict == Verdict.APPLIED
          && next instanceof Ended end
          && !end.outcome().equals(Outcome.NOT_RUN.name())) {
        ran.add(end.attempt());
      }
      assertThat(idempotent || begun.size() <= 1).isTrue();
      boolean saysNotRun =
          journal
              .find(KEY)
              .flatMap(JournalEntry::outcome)
              .filter(Outcome.NOT_RUN::equals)
              .isPresent();
      assertThat(saysNotRun && !ran.isEmpty()).isFalse();
    }
    assertThat(fold(log).find(KEY).orElseThrow().outcome())
        .isEqualTo(journal.find(KEY).orElseThrow().outcome());
  }

  private static JournalRecord randomRecord(Random random) {
    int number = random.nextInt(4);
    return switch (random.nextInt(6)) {
      case 0, 1 -> attempt(number, random.nextBoolean() ? "a#1" : "b#1");
      case 2 -> voided(number);
      case 3 -> random.nextInt(5) == 0 ? cancelled() : ended(0, Outcome.NOT_RUN);
      default ->
          ended(Math.max(1, number), Outcome.values()[random.nextInt(Outcome.values().length)]);
    };
  }

  // Ended work is removed by the distance of offsets, so at the same record at every instance; open
  // work is retained.
  @Test
  void endedWorkIsRemovedAndOpenWorkIsRetained() {
    Journal journal = fold(List.of(accepted(true, true), cancelled()));
    Accepted open =
        new Accepted(TEAM, "open", true, "BATCH", "n", 1, 1, 0, 1, true, 1, 1, new byte[0]);
    journal.apply(2, open);

    journal.apply(Journal.RETENTION_OFFSETS + 2, cancelled());

    assertThat(journal.find(KEY)).isEmpty();
    assertThat(journal.find(new WorkKey(TEAM, "open"))).isPresent();
  }
}
