package org.hickorypier.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouterTest {

  private final Router router = new Router(new SplittableRandom(1));

  @ParameterizedTest
  @CsvSource({
    // hops so far, at home, fits here, a peer has capacity, route
    "0, true, true, true, Local",
    "1, false, true, true, Local",
    "0, true, false, true, Forward",
    "1, true, false, true, Forward",
    "2, true, false, true, Queue",
    "1, true, false, false, Queue",
    "1, false, false, true, Return",
    "2, false, false, true, Return",
  })
  void routeDependsOnHopsHomeAndCapacity(
      int hops, boolean atHome, boolean fitsHere, boolean peerHasCapacity, String route) {
    router.recordDigest("b", capacityFor(peerHasCapacity ? 4 : 0), 0);

    assertThat(router.route(item(1), hops, atHome, fitsHere, 0).getClass().getSimpleName())
        .isEqualTo(route);
  }

  // Guards against a forwarding loop when the instances' views differ: only the home forwards, and
  // only before the second hop, so work is forwarded at most twice.
  @Test
  void workIsForwardedAtMostTwice() {
    router.recordDigest("b", capacityFor(4), 0);
    router.recordDigest("c", capacityFor(4), 0);

    for (int hops = 0; hops < 5; hops++) {
      assertThat(router.route(item(1), hops, false, false, 0)).isEqualTo(new Route.Return());
    }
    for (int hops = Router.MAX_HOPS; hops < 5; hops++) {
      assertThat(router.route(item(1), hops, true, false, 0)).isEqualTo(new Route.Queue());
    }
  }

  @ParameterizedTest
  @CsvSource({
    // accepts work, milli-processors, MiB, accelerators, slots, tasks, digest age (ms), forwarded
    "true, 8000, 8192, 0, 8, 8, 0, true",
    "true, 8000, 8192, 0, 8, 9, 0, false", // slots and processors for 8
    "true, 7999, 8192, 0, 8, 8, 0, false",
    "true, 8000, 8191, 0, 8, 8, 0, false",
    "true, 8000, 8192, 0, 7, 8, 0, false",
    "false, 8000, 8192, 0, 8, 1, 0, false", // draining
    "true, 8000, 8192, 0, 8, 1, 12000, true",
    "true, 8000, 8192, 0, 8, 1, 12001, false", // the digest is too old
  })
  void peerIsChosenOnlyIfItReportsEnoughCapacity(
      boolean acceptsWork,
      long milliProcessors,
      long memoryMebibytes,
      int accelerators,
      int slots,
      int tasks,
      long ageMillis,
      boolean forwarded) {
    Resources free = new Resources(milliProcessors, memoryMebibytes, accelerators);
    router.recordDigest("b", new PeerCapacity(acceptsWork, free, slots, 0), 0);

    assertThat(router.route(item(tasks), 0, true, false, ageMillis).equals(new Route.Forward("b")))
        .isEqualTo(forwarded);
  }

  @Test
  void forwardedWorkIsDeductedUntilNextDigest() {
    router.recordDigest("b", capacityFor(3), 0);
    for (int count = 0; count < 3; count++) {
      assertThat(router.route(item(1), 0, true, false, 0)).isEqualTo(new Route.Forward("b"));
    }
    assertThat(router.route(item(1), 0, true, false, 0)).isEqualTo(new Route.Queue());

    router.recordDigest("b", capacityFor(1), 1_000);
    assertThat(router.route(item(1), 0, true, false, 1_000)).isEqualTo(new Route.Forward("b"));
  }

  @Test
  void peerThatRefusedOrIsDownIsNotChosen() {
    router.recordDigest("b", capacityFor(4), 0);
    router.recordRefusal("b");
    assertThat(router.route(item(1), 0, true, false, 0)).isEqualTo(new Route.Queue());
    router.recordDigest("b", capacityFor(4), 1_000);
    router.removePeer("b");
    assertThat(router.route(item(1), 0, true, false, 1_000)).isEqualTo(new Route.Queue());
  }

  static PeerCapacity capacityFor(int tasks) {
    return new PeerCapacity(true, new Resources(1_000L * tasks, 1_024L * tasks, 0), tasks, 0);
  }

  static WorkItem item(int tasks) {
    return new WorkItem(
        new WorkKey("labels", "r1"),
        WorkClass.BATCH,
        "print",
        new Resources(1_000, 1_024, 0),
        tasks,
        true,
        0,
        10_000,
        500);
  }
}
