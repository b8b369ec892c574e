package org.hickorypier.wire.message;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.PeerMessage.DigestChange;
import org.junit.jupiter.api.Test;

class DigestWriterTest {

  private static final int ALL = Integer.MAX_VALUE;

  private final DigestWriter writer = new DigestWriter();
  private final DigestReader reader = new DigestReader();

  @Test
  void nameIsSentOnceAndUnchangedUseNotAgain() throws Exception {
    Digest digest = digest(List.of(use("labels", 10), use("reminders", 20)));

    DigestChange first = writer.change(digest, ALL);
    final DigestChange second = writer.change(digest, ALL);

    assertThat(first.names()).containsExactlyInAnyOrder("labels", "reminders");
    assertThat(second.names()).isEmpty();
    assertThat(second.uses()).isEmpty();
    assertThat(reader.read(first)).isEqualTo(digest);
    assertThat(reader.read(second)).isEqualTo(digest);
  }

  // Teams come and go at random for a long time. What the reader knows is never off by more than a
  // sixteenth, is exact sixteen digests after the last change, and numbers do not pile up.
  @Test
  void readerStaysNear() throws Exception {
    Random random = new Random(3);
    List<TeamUse> teams = new ArrayList<>();
    Digest digest = digest(List.of());
    for (int round = 0; round < 2_000; round++) {
      int changed = random.nextInt(62);
      teams.removeIf(use -> use.team().equals("team-" + changed));
      if (random.nextBoolean()) {
        teams.add(use("team-" + changed, 1 + random.nextInt(200)));
      }
      if (round % 100 == 0) {
        teams.add(use("passing-" + round, 1));
        teams.removeIf(use -> use.team().startsWith("passing") && random.nextBoolean());
      }
      digest = digest(teams);
      DigestChange change = writer.change(digest, ALL);
      assertNear(reader.read(change), digest);
    }
    Digest last = digest;
    Digest read = last;
    for (int round = 0; round < 16; round++) {
      read = reader.read(writer.change(last, ALL));
    }
    assertThat(read.teams()).containsExactlyInAnyOrderElementsOf(last.teams());
  }

  // Every team's use changes every second, and the link may carry eight of 62. Each team is still
  // sent within 25 digests, and none starves.
  @Test
  void rationedTeamsTakeTurns() throws Exception {
    Random random = new Random(5);
    int[] waited = new int[62];
    for (int round = 0; round < 500; round++) {
      List<TeamUse> teams = new ArrayList<>();
      for (int team = 0; team < waited.length; team++) {
        teams.add(use("team-" + team, 20 + random.nextInt(20)));
        waited[team]++;
      }
      DigestChange change = writer.change(digest(teams), 8);
      change.uses().forEach(use -> waited[use.team()] = 0);
      reader.read(change);

      assertThat(change.uses()).hasSize(round == 0 ? 62 : 8);
      assertThat(Arrays.stream(waited).max().orElseThrow()).isLessThan(25);
    }
  }

  @Test
  void numberWithoutNameIsUndecodable() {
    DigestChange change =
        new DigestChange(
            0,
            0,
            true,
            0,
            0,
            0,
            0,
            List.of(),
            true,
            List.of("labels"),
            List.of(new NumberedUse(1, 1, 1, 1, 1, 1)));

    assertThatThrownBy(() -> reader.read(change)).isInstanceOf(UndecodableException.class);
  }

  private static void assertNear(Digest read, Digest truth) {
    assertThat(read.teams().stream().map(TeamUse::team))
        .containsExactlyInAnyOrderElementsOf(truth.teams().stream().map(TeamUse::team).toList());
    for (TeamUse use : truth.teams()) {
      TeamUse known =
          read.teams().stream().filter(other -> other.team().equals(use.team())).findAny().get();
      assertThat(Math.abs(known.running() - use.running()) * 16)
          .isLessThanOrEqualTo(known.running());
    }
  }

  private static TeamUse use(String team, int running) {
    return new TeamUse(team, running, 0, running * 1_000L, running * 2_048L, 0);
  }

  private static Digest digest(List<TeamUse> teams) {
    return new Digest(12, 30, true, 64_000, 9_000, 2, 17, List.of(0, 1, 2, 3, 4), teams);
  }
}
