package org.hickorypier.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.hickorypier.wire.message.HomeViews;
import org.junit.jupiter.api.Test;

class HomeHistoryTest {

  private static final long RETENTION_MILLIS = 60_000;
  private static final long INTERRUPTION_MILLIS = 1_500;
  private static final long START_MILLIS = 100_000;
  private static final Set<String> BOTH = Set.of("entry-1", "entry-2");
  private static final Set<String> ALL = Set.of("entry-1", "entry-2", "entry-3");

  /** Guards against a second run at a new instance that considers its empty history complete. */
  @Test
  void newInstanceIsIncompleteBeforePeersReport() {
    HomeHistory history = history("entry-3", ALL);

    FormerHomes former = history.formerHomes("norte/r1", START_MILLIS);

    assertThat(former.complete()).isFalse();
    assertThat(former.areRuledOut()).isFalse();
  }

  @Test
  void newInstanceLearnsFormerHomesFromPeer() {
    HomeHistory old = history("entry-1", BOTH);
    old.markHistoryComplete();
    old.markHeardFromAllPeers();
    String moved = keyOf("entry-3", ALL);
    HomeHistory history = history("entry-3", ALL);

    history.mergePeerHistory("entry-1", old.snapshot(START_MILLIS), START_MILLIS);
    history.markHeardFromAllPeers();

    FormerHomes former = history.formerHomes(moved, START_MILLIS);
    assertThat(former.complete()).isTrue();
    assertThat(former.others()).containsExactly(home(moved, BOTH));
  }

  /**
   * Guards against the answer "not run" from a restarted instance that has lost the memory of its
   * earlier incarnation.
   */
  @Test
  void restartedInstanceReportsItsEarlierIncarnationAsHome() {
    HomeHistory old = history("entry-1", ALL);
    old.markHistoryComplete();
    old.markHeardFromAllPeers();
    final String own = keyOf("entry-3", ALL);
    HomeHistory history =
        new HomeHistory("entry-3", RETENTION_MILLIS, INTERRUPTION_MILLIS, later(500));
    history.recordCandidates(ALL, later(500));

    history.mergePeerHistory("entry-1", old.snapshot(later(500)), later(500));
    history.markHeardFromAllPeers();

    assertThat(history.formerHomes(own, later(500)).ownEarlierIncarnation()).isTrue();
  }

  /** Guards against an instance that resumes from a pause and still considers itself home. */
  @Test
  void pausedInstanceIsIncompleteUntilPeersReportAgain() {
    HomeHistory history = history("entry-1", BOTH);
    history.markHistoryComplete();
    history.markHeardFromAllPeers();
    assertThat(history.formerHomes(keyOf("entry-1", BOTH), START_MILLIS).areRuledOut()).isTrue();

    long resumedMillis = later(INTERRUPTION_MILLIS + 1);

    assertThat(history.formerHomes(keyOf("entry-1", BOTH), resumedMillis).areRuledOut()).isFalse();
    assertThat(history.isUninterruptedSince(START_MILLIS, resumedMillis)).isFalse();
    assertThat(history.awaitedPeers(Set.of("entry-2"))).containsExactly("entry-2");
  }

  @Test
  void historyOfOneRecentlyStartedPeerIsNotComplete() {
    HomeHistory history = history("entry-3", ALL);
    HomeViews recentlyStarted =
        new HomeViews(
            RETENTION_MILLIS / 2, List.of(new HomeViews.View(List.of("entry-1"), 30_000, 0)));

    history.mergePeerHistory("entry-1", recentlyStarted, START_MILLIS);
    history.markHeardFromAllPeers();

    assertThat(history.formerHomes("norte/r1", START_MILLIS, RETENTION_MILLIS).complete())
        .isFalse();
    assertThat(history.formerHomes("norte/r1", START_MILLIS, RETENTION_MILLIS / 4).complete())
        .isTrue();
  }

  /** Guards against a second run of work that a peer accepted before it was linked to this one. */
  @Test
  void newPeerReportsHomesFromBeforeItsLink() {
    HomeHistory history = history("entry-1", Set.of("entry-1"));
    history.markHistoryComplete();
    history.markHeardFromAllPeers();
    final String accepted = keyOf("entry-1", BOTH);
    HomeHistory unlinked =
        new HomeHistory("entry-2", RETENTION_MILLIS, INTERRUPTION_MILLIS, later(500));
    unlinked.recordCandidates(Set.of("entry-2"), later(500));
    unlinked.recordCandidates(BOTH, later(1_000));
    history.recordCandidates(BOTH, later(1_000));

    assertThat(history.awaitedPeers(Set.of("entry-2"))).containsExactly("entry-2");
    assertThat(history.formerHomes(accepted, later(1_000)).areRuledOut()).isFalse();
    history.mergePeerHistory("entry-2", unlinked.snapshot(later(1_100)), later(1_100));
    history.markHeardFromAllPeers();

    assertThat(history.formerHomes(accepted, later(1_100)).others()).containsExactly("entry-2");
    assertThat(history.formerHomes(accepted, later(1_100)).ownEarlierIncarnation()).isFalse();
  }

  @Test
  void formerHomeExpiresAfterRetention() {
    HomeHistory history = history("entry-1", BOTH);
    history.markHistoryComplete();
    history.markHeardFromAllPeers();
    String lost = keyOf("entry-2", BOTH);
    history.recordCandidates(Set.of("entry-1"), later(1_000));
    assertThat(history.formerHomes(lost, later(1_000)).others()).containsExactly("entry-2");

    for (long passed = 2_000; passed <= RETENTION_MILLIS + 2_000; passed += 1_000) {
      history.recordCandidates(Set.of("entry-1"), later(passed));
    }

    assertThat(history.formerHomes(lost, later(RETENTION_MILLIS + 2_000)).areRuledOut()).isTrue();
  }

  private static HomeHistory history(String own, Set<String> candidates) {
    HomeHistory history = new HomeHistory(own, RETENTION_MILLIS, INTERRUPTION_MILLIS, START_MILLIS);
    history.recordCandidates(candidates, START_MILLIS);
    return history;
  }

  private static long later(long millis) {
    return START_MILLIS + millis;
  }

  private static String home(String key, Set<String> among) {
    return RendezvousHash.preferred(among, key).orElseThrow();
  }

  private static String keyOf(String home, Set<String> among) {
    int number = 0;
    while (!home("norte/r" + number, among).equals(home)) {
      number++;
    }
    return "norte/r" + number;
  }
}
