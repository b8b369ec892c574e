package org.hickorypier.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FreshnessProofTest {

  private static final long OWN_OFFSET = 10;

  private final FreshnessProof proof = new FreshnessProof();

  @Test
  void newInstanceHasNoProof() {
    assertThat(proof.ageMillis(5_000)).isEqualTo(Long.MAX_VALUE);
  }

  // The log is unavailable to this instance only. Its callers are not affected: a peer that reads
  // the log proves the freshness. The age is the peer's age plus the time since the query was sent.
  @ParameterizedTest
  @CsvSource({
    "10, 300, 1500, a peer at the same offset",
    "9, 300, 1500, a peer at an older offset",
    "11, 300, 9223372036854775807, a peer at a newer offset proves nothing",
  })
  void peerProvesFreshnessDuringLocalLogOutage(
      long offset, long age, long expected, String because) {
    proof.recordPeerRound(4_000, OWN_OFFSET, false, List.of(new PeerFreshness(offset, age)), 3);

    assertThat(proof.ageMillis(5_200)).as(because).isEqualTo(expected);
  }

  // The log is unavailable to all instances. None can have acknowledged a change, so all keep
  // working. If one listed instance does not answer, it may be the one that reads the log, and the
  // age grows.
  @ParameterizedTest
  @CsvSource({
    "true, 2, 1000, all listed instances answer",
    "true, 3, 9223372036854775807, one does not answer",
    "false, 2, 9223372036854775807, not all could be queried",
  })
  void unanimousAnswersProveFreshnessDuringLogOutage(
      boolean askedAll, int asked, long expected, String because) {
    List<PeerFreshness> answers =
        List.of(
            new PeerFreshness(10, PeerFreshness.NEVER), new PeerFreshness(9, PeerFreshness.NEVER));

    proof.recordPeerRound(4_000, OWN_OFFSET, askedAll, answers, asked);

    assertThat(proof.ageMillis(5_000)).as(because).isEqualTo(expected);
  }

  // The process is paused while a peer's answer waits in its socket. If the answer counted from its
  // arrival, a withdrawn key would still work after the pause; it counts from when the query was
  // sent.
  @Test
  void answerDelayedByPauseProvesNothingRecent() {
    proof.recordPeerRound(1_000, OWN_OFFSET, false, List.of(new PeerFreshness(10, 0)), 1);

    assertThat(proof.ageMillis(61_000)).isEqualTo(60_000);
  }

  @Test
  void olderProofDoesNotReplaceNewerProof() {
    proof.recordLogRead(5_000);
    proof.recordLogRead(3_000);

    assertThat(proof.ageMillis(6_000)).isEqualTo(1_000);
  }
}
