package org.hickorypier.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipViewTest {

  private static final long TIMEOUT_MILLIS = 3_000;

  private final MembershipView view = new MembershipView("a", TIMEOUT_MILLIS);

  @ParameterizedTest
  @CsvSource({
    // listed, linked until (ms), now (ms), live
    "true, -1, 3000, true", // listed at 0, never linked, within its first timeout
    "true, -1, 3001, false", // never linked, timeout expired
    "true, 99999, 90000, true", // linked
    "false, 99999, 90000, true", // linked, the list is outdated
    "true, 5000, 8000, true", // link down, within the timeout
    "true, 5000, 8001, false", // link down, timeout expired
    "false, 5000, 5000, false", // link down and no longer listed
  })
  void peerIsLiveByLinkListAndTimeout(boolean listed, long linkedUntil, long now, boolean live) {
    view.updateListed(list("a", "b"), 0);
    if (linkedUntil >= 0) {
      view.recordLinkUp("b", 1, 0);
    }
    if (!listed) {
      view.updateListed(list("a"), 4_000);
    }
    if (linkedUntil >= 0 && linkedUntil <= now) {
      view.recordLinkDown("b", linkedUntil);
    }

    assertThat(view.liveInstances(now)).isEqualTo(live ? Set.of("a", "b") : Set.of("a"));
    assertThat(view.isLive("b", 1, now)).isEqualTo(live);
  }

  // An instance is killed and restarted under the same name before its timeout expires. Its tasks
  // belong to the old incarnation, which must count as dead at once, or no instance adopts them.
  @Test
  void restartedPeerIsLiveAndItsOldIncarnationIsDead() {
    view.updateListed(list("a", "b"), 0);
    view.recordLinkUp("b", 1, 0);
    view.recordLinkDown("b", 100);
    view.recordLinkUp("b", 2, 200);

    assertThat(view.isLive("b", 1, 300)).isFalse();
    assertThat(view.isLive("b", 2, 300)).isTrue();
  }

  // Guards against a restart loop: peers to which a new incarnation has not linked yet fence it at
  // once, and it starts again.
  @Test
  void newIncarnationIsLiveBeforeItsLinkIsUp() {
    view.updateListed(list("a", "b"), 0);
    view.recordLinkUp("b", 1, 0);
    view.recordLinkDown("b", 100);

    assertThat(view.isLive("b", 2, 100 + TIMEOUT_MILLIS)).isTrue();
    assertThat(view.isLive("b", 2, 101 + TIMEOUT_MILLIS)).isFalse();
  }

  @Test
  void leavingAndDrainedPeersAreLiveButNotCandidates() {
    view.updateListed(
        List.of(
            new ListedMember("a", false),
            new ListedMember("b", true),
            new ListedMember("c", false)),
        0);
    view.updateDrained(Set.of("c", "worker-7"));

    assertThat(view.liveInstances(0)).containsExactly("a", "b", "c");
    assertThat(view.candidates(0)).containsExactly("a");
    view.updateDrained(Set.of("a", "c"));
    assertThat(view.candidates(0)).containsExactlyInAnyOrder("a", "b", "c");
  }

  // All instances start together. Without the first timeout each one would consider itself the only
  // live instance, claim every worker, and hand most of them over seconds later.
  @Test
  void startingInstanceDoesNotClaimEveryWorker() {
    view.updateListed(list("a", "b", "c", "d"), 0);

    long preferred =
        java.util.stream.IntStream.range(0, 100)
            .filter(index -> view.preferredInstance("worker-" + index, 10).equals("a"))
            .count();

    assertThat(preferred).isBetween(10L, 40L);
  }

  @Test
  void unlistedDeadPeersAreRemoved() {
    for (int index = 0; index < 1_000; index++) {
      view.recordLinkUp("x" + index, 1, index);
      view.recordLinkDown("x" + index, index);
      view.updateListed(list("a"), index);
    }

    assertThat(view.liveInstances(1_000)).containsExactly("a");
    assertThat(view.knownPeerCount()).isZero();
  }

  private static List<ListedMember> list(String... names) {
    return Arrays.stream(names).map(name -> new ListedMember(name, false)).toList();
  }
}
