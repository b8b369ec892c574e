package org.hickorypier.core.fairness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FairSharesTest {

  private static final long SAMPLE_MILLIS = 100;

  private final FairShares shares = new FairShares();
  private long now = 1_000;

  private void use(Map<String, CustomerUse> uses, long millis) {
    for (long until = now + millis; now < until; now += SAMPLE_MILLIS) {
      shares.sample(uses, now);
    }
  }

  /**
   * One customer uses most of the cell; four others of the same weight use or wait for the rest.
   */
  private static Map<String, CustomerUse> surge(boolean othersWait) {
    Map<String, CustomerUse> uses = new HashMap<>();
    uses.put("large", new CustomerUse(1, 0.8, true));
    for (int index = 0; index < 4; index++) {
      uses.put("small" + index, new CustomerUse(1, 0.02, othersWait));
    }
    return uses;
  }

  @Test
  void surgeGoesBehindThoseBelowTheirShareThatWait() {
    use(surge(true), 1_000);
    assertThat(shares.isOverShare("large")).isTrue();
    assertThat(shares.isOverShare("small0")).isFalse();
    assertThat(shares.customersOverShare()).containsExactly("large");
  }

  /** Guards against room that stands empty because of shares. */
  @Test
  void whatOthersDoNotAskForMayBeUsed() {
    use(surge(false), 1_000);
    assertThat(shares.isOverShare("large")).isFalse();
    use(Map.of("large", new CustomerUse(1, 1, true)), 6_000);
    assertThat(shares.isOverShare("large")).isFalse();
  }

  @Test
  void largeWeightAllowsLargeUse() {
    Map<String, CustomerUse> uses = surge(true);
    uses.put("large", new CustomerUse(4, 0.8, true));
    use(uses, 1_000);
    assertThat(shares.isOverShare("large")).isFalse();
  }

  /** Guards against a customer that is held back for longer than the window by an old surge. */
  @Test
  void surgeIsForgottenAfterTheWindow() {
    use(surge(true), 3_000);
    assertThat(shares.isOverShare("large")).isTrue();
    Map<String, CustomerUse> even = new HashMap<>();
    surge(true).keySet().forEach(name -> even.put(name, new CustomerUse(1, 0.2, true)));
    use(even, FairShares.WINDOW_MILLIS);
    assertThat(shares.isOverShare("large")).isFalse();
  }

  @Test
  void customerWithoutWeightIsRatedAsSmallest() {
    use(
        Map.of("none", new CustomerUse(0, 0.5, true), "other", new CustomerUse(1, 0.1, true)),
        1_000);
    assertThat(shares.isOverShare("none")).isTrue();
    assertThat(shares.isOverShare("unknown")).isFalse();
  }
}
