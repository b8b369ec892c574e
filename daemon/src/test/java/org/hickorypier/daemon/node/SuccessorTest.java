package org.hickorypier.daemon.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SuccessorTest {

  private static Successor candidate(int strength, long startedAt) {
    return new Successor(null, strength, startedAt, 20);
  }

  private static Successor measuredCandidate(long startedAt, int workMicros) {
    return new Successor(null, 750, startedAt, workMicros);
  }

  /**
   * Guards against repeated takeovers when the owner is stopped during a rolling restart. The
   * instance that was restarted most recently takes over: it is not stopped next, so callers see
   * one pause instead of one every 2 s.
   */
  @Test
  void mostRecentlyStartedInstanceComesFirst() {
    Successor old = candidate(750, -60_000);
    Successor restartedFirst = candidate(750, 2_000);
    Successor restartedLast = candidate(750, 4_000);
    assertThat(
            List.of(old, restartedFirst, restartedLast).stream().sorted(Successor.PREFERENCE_ORDER))
        .containsExactly(restartedLast, restartedFirst, old);
  }

  @Test
  void strongerMachineComesFirstRegardlessOfStartTime() {
    Successor weak = candidate(360, 4_000);
    Successor strong = candidate(1_500, -60_000);
    assertThat(List.of(weak, strong).stream().sorted(Successor.PREFERENCE_ORDER))
        .containsExactly(strong, weak);
  }

  /**
   * Guards against a handover to a slow machine. The owner is stopped while two candidates are five
   * times slower than usual, one of them just restarted. The cell goes to a fast candidate: all
   * other instances suspected the slow ones within two seconds, and callers waited for the next
   * takeover.
   */
  @Test
  void slowMachineComesLastEvenIfStartedLast() {
    Successor slow = measuredCandidate(4_000, 95);
    Successor unanswered = measuredCandidate(5_000, Successor.NO_ANSWER_MICROS);
    Successor fast = measuredCandidate(-60_000, 19);
    Successor restarted = measuredCandidate(2_000, 57);
    assertThat(Successor.sortedByPreference(List.of(slow, unanswered, fast, restarted)))
        .containsExactly(restarted, fast, unanswered, slow);
  }

  @Test
  void instancesOfSimilarSpeedAreNotTreatedAsSlow() {
    Successor old = measuredCandidate(-60_000, 100);
    Successor recent = measuredCandidate(2_000, 120);
    assertThat(Successor.sortedByPreference(List.of(old, recent))).containsExactly(recent, old);
  }

  @Test
  void instancesWithoutMeasurementAreOrderedByPreference() {
    Successor old = measuredCandidate(-60_000, Successor.NO_ANSWER_MICROS);
    Successor recent = measuredCandidate(2_000, Successor.NO_ANSWER_MICROS);
    assertThat(Successor.sortedByPreference(List.of(old, recent))).containsExactly(recent, old);
  }
}
