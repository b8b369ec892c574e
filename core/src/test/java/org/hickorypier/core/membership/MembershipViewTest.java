package org.hickorypier.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipViewTest {

  private static final long TIMEOUT = 3_000;

  private final MembershipView view = new MembershipView("a", TIMEOUT);

  @ParameterizedTest
  @CsvSource({
    // listed, linked until, now, live
    "true, -1, 3000, true", // listed at 0, never linked, still in its first timeout
    "true, -1, 3001, false", // never linked, timeout over
    "true, 99999, 90000, true", // linked
    "false, 99999, 90000, true", // linked, the list lags
    "true, 5000, 8000, true", // link down, within the timeout
    "true, 5000, 8001, false", // link down, timeout over
    "false, 5000, 5000, false", // link down and no longer listed
  })
  void peerLooksLive(boolean listed, long linkedUntil, long now, boolean live) {
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

  // An instance is killed and restarted under its name before anyone missed it. Its tasks belong to
  // the old incarnation, which has to look dead at once, or nobody would adopt them.
  @Test
  void restartedPeerIsLiveAndItsOldIncarnationDead() {
    view.updateListed(list("a", "b"), 0);
    view.recordLinkUp("b", 1, 0);
    view.recordLinkDown("b", 100);
    view.recordLinkUp("b", 2, 200);

    assertThat(view.isLive("b", 1, 300)).isFalse();
    assertThat(view.isLive("b", 2, 300)).isTrue();
  }

  // A new incarnation was fenced off at once by those to whom it had not linked yet, and started
  // anew.
  @Test
  void incarnationThatHasNotLinkedYetIsNotTakenForDead() {
    view.updateListed(list("a", "b"), 0);
    view.recordLinkUp("b", 1, 0);
    view.recordLinkDown("b", 100);

    assertThat(view.isLive("b", 2, 100 + TIMEOUT)).isTrue();
    assertThat(view.isLive("b", 2, 101 + TIMEOUT)).isFalse();
  }

  @Test
  void leavingAndDrainedPeersAreLiveButGetNothingNew() {
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

  // All instances start together. Without the first timeout each would take itself for the only
  // one, claim every worker, and hand most of them over again seconds later.
  @Test
  void startingInstanceDoesNotWantEverything() {
    view.updateListed(list("a", "b", "c", "d"), 0);

    long wanted =
        java.util.stream.IntStream.range(0, 100)
            .filter(index -> view.preferredInstance("worker-" + index, 10).equals("a"))
            .count();

    assertThat(wanted).isBetween(10L, 40L);
  }

  @Test
  void goneMembersAreForgotten() {
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
