package org.hickorypier.wire.message;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.PeerMessage.DigestChange;

/**
 * Cuts the digests sent over one link down to what has changed, and to what the link may carry.
 *
 * <p>Load it is made for: 62 teams, a digest a second to every peer, and 2 KB a second for all
 * control. A team's name is sent once and its number after that. A team is sent again when one of
 * its figures has changed by more than a sixteenth, and every sixteenth digest if it has changed at
 * all. When that is more than the caller allows, those go first that are furthest off and have
 * waited longest, so no team waits for ever. Room is sent whole each time: the choice of a peer
 * rests on it, while fair shares bear teams' use that is some seconds old.
 *
 * <p>Invariant: a {@link DigestReader} that is given every change in order knows what this writer
 * knows. A new link takes a new writer and a new reader. Not thread safe.
 */
public final class DigestWriter {

  private static final int FRACTION = 16;

  /** Numbers of teams that are gone are given up when there are this many more than teams. */
  private static final int UNUSED_NUMBERS = 64;

  private final Map<String, Integer> numbers = new HashMap<>();
  private final Map<String, TeamUse> sent = new HashMap<>();
  private final Map<String, Integer> sentRounds = new HashMap<>();
  private boolean fresh = true;
  private int round;

  /**
   * Makes the change that brings the reader nearer to a digest. It must be sent.
   *
   * @param digest the digest
   * @param mostUses how many teams' use it may carry; the first change of a link carries all
   * @return the change
   */
  public DigestChange change(Digest digest, int mostUses) {
    if (numbers.size() > digest.teams().size() + UNUSED_NUMBERS) {
      startOver();
    }
    final boolean first = fresh;
    fresh = false;
    List<TeamUse> due =
        withThoseGone(digest.teams()).stream()
            .filter(this::isDue)
            .sorted(Comparator.comparingDouble(this::urgency).reversed())
            .limit(first ? Integer.MAX_VALUE : mostUses)
            .toList();
    List<String> names = new ArrayList<>();
    List<NumberedUse> uses = new ArrayList<>();
    for (TeamUse use : due) {
      if (!numbers.containsKey(use.team())) {
        numbers.put(use.team(), numbers.size());
        names.add(use.team());
      }
      sent.put(use.team(), use);
      sentRounds.put(use.team(), round);
      uses.add(numbered(use));
    }
    sent.values().removeIf(DigestWriter::isNothing);
    round++;
    return new DigestChange(
        digest.configurationOffset(),
        digest.logAgeMillis(),
        digest.taking(),
        digest.milliProcessors(),
        digest.memoryMebibytes(),
        digest.accelerators(),
        digest.slots(),
        digest.waiting(),
        first,
        names,
        uses);
  }

  static boolean isNothing(TeamUse use) {
    return use.equals(nothing(use.team()));
  }

  private static TeamUse nothing(String team) {
    return new TeamUse(team, 0, 0, 0, 0, 0);
  }

  private void startOver() {
    numbers.clear();
    sent.clear();
    sentRounds.clear();
    fresh = true;
  }

  private List<TeamUse> withThoseGone(List<TeamUse> teams) {
    List<TeamUse> all = new ArrayList<>(teams);
    Set<String> present = new HashSet<>();
    teams.forEach(use -> present.add(use.team()));
    sent.keySet().stream()
        .filter(team -> !present.contains(team))
        .map(DigestWriter::nothing)
        .forEach(all::add);
    return all;
  }

  private boolean isDue(TeamUse use) {
    TeamUse before = known(use.team());
    if (use.equals(before)) {
      return false;
    }
    boolean turn = waited(use.team()) >= FRACTION;
    return turn
        || isFar(before.running(), use.running())
        || isFar(before.waiting(), use.waiting())
        || isFar(before.milliProcessors(), use.milliProcessors())
        || isFar(before.memoryMebibytes(), use.memoryMebibytes())
        || isFar(before.accelerators(), use.accelerators());
  }

  private double urgency(TeamUse use) {
    TeamUse before = known(use.team());
    long off =
        Math.abs(use.running() - before.running()) + Math.abs(use.waiting() - before.waiting());
    return (1.0 + off) / (1 + before.running() + before.waiting()) * waited(use.team());
  }

  private TeamUse known(String team) {
    return sent.getOrDefault(team, nothing(team));
  }

  private int waited(String team) {
    return round - sentRounds.getOrDefault(team, round - FRACTION);
  }

  private static boolean isFar(long before, long now) {
    return Math.abs(now - before) * FRACTION > before;
  }

  private NumberedUse numbered(TeamUse use) {
    return new NumberedUse(
        numbers.get(use.team()),
        use.running(),
        use.waiting(),
        use.milliProcessors(),
        use.memoryMebibytes(),
        use.accelerators());
  }
}
