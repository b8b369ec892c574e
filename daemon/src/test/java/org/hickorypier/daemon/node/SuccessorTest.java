package org.hickorypier.daemon.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SuccessorTest {

  private static Successor instance(int strength, long startedAt) {
    return new Successor(null, strength, startedAt, 20);
  }

  private static Successor quick(long startedAt, int workMicros) {
    return new Successor(null, 750, startedAt, workMicros);
  }

  /**
   * The owner is stopped in the middle of a rolling restart. The instance that was restarted a
   * moment ago takes over: it will not be stopped next, so callers see one pause and not one every
   * 2 s.
   */
  @Test
  void mostRecentlyStartedInstanceComesFirst() {
    Successor old = instance(750, -60_000);
    Successor passedFirst = instance(750, 2_000);
    Successor passedLast = instance(750, 4_000);
    assertThat(List.of(old, passedFirst, passedLast).stream().sorted(Successor.PREFERENCE_ORDER))
        .containsExactly(passedLast, passedFirst, old);
  }

  @Test
  void strongerMachineComesFirstRegardlessOfStartTime() {
    Successor weak = instance(360, 4_000);
    Successor strong = instance(1_500, -60_000);
    assertThat(List.of(weak, strong).stream().sorted(Successor.PREFERENCE_ORDER))
        .containsExactly(strong, weak);
  }

  /**
   * The owner is stopped while two of its successors are five times slower than usual, one of them
   * just restarted. The cell goes to a quick one: the slow ones were suspected by all others within
   * two seconds, and callers waited through the next takeover.
   */
  @Test
  void slowMachineComesLastEvenIfStartedLast() {
    Successor slow = quick(4_000, 95);
    Successor silent = quick(5_000, Successor.NO_ANSWER_MICROS);
    Successor quick = quick(-60_000, 19);
    Successor restarted = quick(2_000, 57);
    assertThat(Successor.sortedByPreference(List.of(slow, silent, quick, restarted)))
        .containsExactly(restarted, quick, silent, slow);
  }

  @Test
  void instancesOfSimilarSpeedAreNotTreatedAsSlow() {
    Successor old = quick(-60_000, 100);
    Successor young = quick(2_000, 120);
    assertThat(Successor.sortedByPreference(List.of(old, young))).containsExactly(young, old);
  }

  @Test
  void instancesWithoutMeasurementAreOrderedByPreference() {
    Successor old = quick(-60_000, Successor.NO_ANSWER_MICROS);
    Successor young = quick(2_000, Successor.NO_ANSWER_MICROS);
    assertThat(Successor.sortedByPreference(List.of(old, young))).containsExactly(young, old);
  }
}
