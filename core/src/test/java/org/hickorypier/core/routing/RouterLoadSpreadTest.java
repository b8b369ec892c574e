package org.hickorypier.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/**
 * Guards against herding: eight instances with digests a second old forward to the same peer. Seven
 * of them are full and receive more work.
 *
 * <p>The baseline that the router has to beat is the choice of the peer with the most capacity.
 */
class RouterLoadSpreadTest {

  private static final int INSTANCES = 8;
  private static final int[] FREE_SLOTS = {0, 40, 44, 48, 52, 56, 60, 64};
  private static final int ARRIVALS_PER_INSTANCE = 30;

  // In the second between two digests every instance sees the same capacities and has 30 tasks to
  // forward. The baseline sends all 240 to peer 7, which has capacity for 64, while the others stay
  // idle. With two draws no peer is sent more than its capacity and few tasks are not forwarded.
  @Test
  void noPeerIsOverfilledWhileOthersAreIdle() {
    int[] baseline = forwardToLargestCapacity();
    int[] routed = forwardByRouters();

    assertThat(overfill(baseline))
        .as("tasks beyond the capacity of the peer with the most capacity")
        .isGreaterThan(100);
    assertThat(overfill(routed)).as("tasks beyond the capacity of any peer").isLessThanOrEqualTo(4);
    assertThat(Arrays.stream(routed).max().orElseThrow())
        .as("highest number of tasks sent to one peer, of 240")
        .isLessThan(72);
  }

  private static int[] forwardToLargestCapacity() {
    int[] sent = new int[INSTANCES];
    for (int sender = 0; sender < INSTANCES; sender++) {
      int largest = sender == INSTANCES - 1 ? INSTANCES - 2 : INSTANCES - 1;
      sent[largest] += ARRIVALS_PER_INSTANCE;
    }
    return sent;
  }

  private static int[] forwardByRouters() {
    List<Router> routers = new ArrayList<>();
    for (int instance = 0; instance < INSTANCES; instance++) {
      RandomGenerator random = new SplittableRandom(instance);
      Router router = new Router(random);
      for (int peer = 0; peer < INSTANCES; peer++) {
        if (peer != instance) {
          router.recordDigest(String.valueOf(peer), RouterTest.capacityFor(FREE_SLOTS[peer]), 0);
        }
      }
      routers.add(router);
    }
    int[] sent = new int[INSTANCES];
    for (int arrival = 0; arrival < ARRIVALS_PER_INSTANCE; arrival++) {
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
      overfill += Math.max(0, sent[peer] - FREE_SLOTS[peer]);
    }
    return overfill;
  }
}
