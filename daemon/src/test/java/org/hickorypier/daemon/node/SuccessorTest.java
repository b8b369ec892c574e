package org.hickorypier.daemon.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SuccessorTest {

  private static Successor instance(int strength, long startedAt) {
    return new Successor(null, strength, startedAt);
  }

  /**
   * The owner is stopped in the middle of a rolling restart. The instance that was restarted a
   * moment ago takes over: it will not be stopped next, so callers see one pause and not one every
   * 2 s.
   */
  @Test
  void instanceThatTheRestartHasPassedComesFirst() {
    Successor old = instance(750, -60_000);
    Successor passedFirst = instance(750, 2_000);
    Successor passedLast = instance(750, 4_000);
    assertThat(List.of(old, passedFirst, passedLast).stream().sorted(Successor.ORDER))
        .containsExactly(passedLast, passedFirst, old);
  }

  @Test
  void strongerMachineComesFirstWhateverItsAge() {
    Successor weak = instance(360, 4_000);
    Successor strong = instance(1_500, -60_000);
    assertThat(List.of(weak, strong).stream().sorted(Successor.ORDER))
        .containsExactly(strong, weak);
  }
}
