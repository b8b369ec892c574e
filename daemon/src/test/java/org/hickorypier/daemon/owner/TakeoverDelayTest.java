package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class TakeoverDelayTest {

  private static final String ADDRESS = "10.1.0.17:7420";

  /**
   * Guards against a takeover by a slowed machine, after which callers waited for a slow owner and
   * then for the next takeover. The owner is lost while this instance's machine runs five times
   * slower. All machines that are not slowed must be due earlier, whatever their addresses.
   */
  @Test
  void slowedMachineTakesOverAfterAllOthers() {
    Duration slowed = TakeoverDelay.of(ADDRESS, false, true);
    for (int last = 1; last < 255; last++) {
      Duration other = TakeoverDelay.of("10.1.0." + last + ":7420", false, false);
      assertThat(other).isLessThan(slowed);
    }
  }

  @Test
  void weakMachineHasTheExtraDelay() {
    assertThat(TakeoverDelay.of(ADDRESS, true, false))
        .isEqualTo(
            TakeoverDelay.of(ADDRESS, false, false)
                .plusMillis(TakeoverDelay.WEAK_OR_SLOWED_EXTRA_MILLIS));
  }
}
