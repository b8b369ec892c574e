package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OrderRelayPolicyTest {

  /** A link of 2 Mbit/s. */
  private static final double SLOW_LINK = 250_000;

  /** A link of 200 Mbit/s. */
  private static final double FAST_LINK = 25_000_000;

  private static final int ORDER_BYTES = 1_400;

  /** Sends orders at a steady rate and returns how many of them were relayed. */
  private static int relayed(OrderRelayPolicy policy, long from, int orders, long gapMillis) {
    int relayed = 0;
    for (int index = 0; index < orders; index++) {
      if (policy.shouldRelay(ORDER_BYTES, from + index * gapMillis)) {
        relayed++;
      }
    }
    return relayed;
  }

  /** Guards against start orders that fill a slow link: 150 orders a second take 84% of it. */
  @Test
  void ordersThatWouldFillSlowLinkAreRelayed() {
    assertThat(relayed(new OrderRelayPolicy(SLOW_LINK), 0, 300, 7)).isGreaterThan(270);
  }

  @Test
  void fewOrdersAreSentDirectly() {
    assertThat(relayed(new OrderRelayPolicy(SLOW_LINK), 0, 60, 1_000)).isZero();
  }

  @Test
  void fastLinkRelaysNothing() {
    assertThat(relayed(new OrderRelayPolicy(FAST_LINK), 0, 2_000, 2)).isZero();
  }

  /** Guards against switching back and forth while the demand stays near the threshold. */
  @Test
  void relayingEndsWellBelowTheShareAtWhichItStarted() {
    OrderRelayPolicy policy = new OrderRelayPolicy(SLOW_LINK);
    relayed(policy, 0, 300, 7);
    assertThat(relayed(policy, 2_100, 100, 60)).isEqualTo(100);
    assertThat(relayed(policy, 60_000, 60, 1_000)).isZero();
  }
}
