package org.hickorypier.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/**
 * Eight instances with digests a second old; seven of them are full and get more work in.
 *
 * <p>The plain choice of the emptiest peer is kept here as the baseline that the router has to
 * beat.
 */
class RouterLoadSpreadTest {

  private static final int INSTANCES = 8;
  private static final int[] FREE = {0, 40, 44, 48, 52, 56, 60, 64};
  private static final int ARRIVALS_EACH = 30;

  // One second between two digests: every instance sees the same room and has 30 tasks to hand on.
  // With the emptiest choice all 240 go to peer 7, which has room for 64, while the others stand
  // empty. With two draws no peer is sent more than its room and few tasks stay behind.
  @Test
  void nobodyIsOverfilledWhileOthersStandEmpty() {
    int[] herd = emptiestChoice();
    int[] spread = routers();

    assertThat(overfill(herd)).as("tasks beyond the emptiest peer's room").isGreaterThan(100);
    assertThat(overfill(spread)).as("tasks beyond any peer's room").isLessThanOrEqualTo(4);
    assertThat(Arrays.stream(spread).max().orElseThrow())
        .as("the most that one peer was sent, of 240")
        .isLessThan(72);
  }

  private static int[] emptiestChoice() {
    int[] sent = new int[INSTANCES];
    for (int sender = 0; sender < INSTANCES; sender++) {
      int emptiest = sender == INSTANCES - 1 ? INSTANCES - 2 : INSTANCES - 1;
      sent[emptiest] += ARRIVALS_EACH;
    }
    return sent;
  }

  private static int[] routers() {
    List<Router> routers = new ArrayList<>();
    for (int instance = 0; instance < INSTANCES; instance++) {
      RandomGenerator random = new SplittableRandom(instance);
      Router router = new Router(random);
      for (int peer = 0; peer < INSTANCES; peer++) {
        if (peer != instance) {
          router.recordDigest(String.valueOf(peer), RouterTest.room(FREE[peer]), 0);
        }
      }
      routers.add(router);
    }
    int[] sent = new int[INSTANCES];
    for (int arrival = 0; arrival < ARRIVALS_EACH; arrival++) {
      for (Router router : routers) {
        if (router.route(RouterTest.item(1), 0, true, false, 500) instanceof Route.Forward to) {
          sent[Integer.parseInt(to.peer())]++;
        }
      }
    }
    return sent;
  }

  private static int overfill(int[] sent) {
    int overfill = 0;
    for (int peer = 0; peer < INSTANCES; peer++) {
      overfill += Math.max(0, sent[peer] - FREE[peer]);
    }
    return overfill;
  }
}
