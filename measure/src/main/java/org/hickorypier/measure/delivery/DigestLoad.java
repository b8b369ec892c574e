package org.hickorypier.measure.delivery;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.message.DigestBudget;
import org.hickorypier.wire.message.DigestReader;
import org.hickorypier.wire.message.DigestWriter;
import org.hickorypier.wire.message.Frame;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.PeerMessage.DigestChange;
import org.hickorypier.wire.message.TeamUse;

/**
 * The digests of one busy instance, second by second, on one of its links, as they are really
 * encoded.
 *
 * <p>Every team has tasks running at the instance. Each second about a tenth of them end and as
 * many start: 1,600 starts a second over 17,000 running tasks. Not thread safe.
 */
final class DigestLoad {

  private static final String NAME = "branch-team-";
  private static final int CLASSES = 5;
  private static final int TURNOVER = 10;
  private static final long MILLIS = 1_000;

  private final MessagePackCodec<PeerMessage> codec = new MessagePackCodec<>(PeerMessage.class);
  private final DigestWriter unboundedWriter = new DigestWriter();
  private final DigestWriter boundedWriter = new DigestWriter();
  private final DigestReader reader = new DigestReader();
  private final DigestBudget budget = new DigestBudget();
  private final RandomGenerator random;
  private final int[] running;
  private final int[] known;
  private final int tasksEach;
  private long offset = 100_000;
  private long named;
  private long unbounded;
  private long bounded;
  private int digests;
  private int first;

  /**
   * Creates the load.
   *
   * @param teams the number of teams
   * @param tasks how many tasks run at the instance
   * @param seed where its chances begin
   */
  DigestLoad(int teams, int tasks, long seed) {
    random = new SplittableRandom(seed);
    running = new int[teams];
    known = new int[teams];
    tasksEach = Math.max(1, tasks / teams);
    Arrays.fill(running, tasksEach);
  }

  /** Lets a second pass and sends the digest. */
  void second(int second, int links) {
    for (int team = 0; team < running.length; team++) {
      running[team] += chance(tasksEach) - chance(running[team]);
    }
    offset++;
    Digest digest = digest();
    named += frameBytes(digest);
    int change = frameBytes(unboundedWriter.change(digest, Integer.MAX_VALUE));
    unbounded += change;
    first = second == 0 ? change : first;
    int mostUses = budget.mostUses(second * MILLIS, links);
    if (mostUses >= 0) {
      send(boundedWriter.change(digest, mostUses));
    }
  }

  /** Returns a team's running tasks. */
  int running(int team) {
    return running[team];
  }

  /** Returns a team's running tasks as the other end of the link knows them. */
  int known(int team) {
    return known[team];
  }

  /** Returns the bytes of all digests if each had named every team. */
  long named() {
    return named;
  }

  /** Returns the bytes of all changes if they were not bounded. */
  long unbounded() {
    return unbounded;
  }

  /** Returns the bytes of all changes that were sent. */
  long bounded() {
    return bounded;
  }

  /** Returns how many changes were sent. */
  int digests() {
    return digests;
  }

  /** Returns the bytes of the first change. */
  int first() {
    return first;
  }

  private int chance(int tasks) {
    return (int) IntStream.range(0, tasks).filter(ignored -> random.nextInt(TURNOVER) == 0).count();
  }

  private void send(DigestChange change) {
    int bytes = frameBytes(change);
    budget.spent(bytes);
    bounded += bytes;
    digests++;
    Arrays.fill(known, 0);
    try {
      for (TeamUse use : reader.read(change).teams()) {
        known[Integer.parseInt(use.team().substring(NAME.length()))] = use.running();
      }
    } catch (UndecodableException broken) {
      throw new IllegalStateException("own digest cannot be read", broken);
    }
  }

  private Digest digest() {
    List<TeamUse> teams = new ArrayList<>();
    int sum = 0;
    for (int team = 0; team < running.length; team++) {
      int tasks = running[team];
      sum += tasks;
      teams.add(new TeamUse(NAME + team, tasks, tasks / 4, tasks * 1_000L, tasks * 4_096L, 0));
    }
    List<Integer> waiting = Collections.nCopies(CLASSES, sum / 4 / CLASSES);
    return new Digest(
        offset, random.nextInt(1_000), true, sum * 500L, sum * 2_048L, 3, sum / 2, waiting, teams);
  }

  private int frameBytes(PeerMessage message) {
    return Frame.OVERHEAD_BYTES + codec.encode(message).length;
  }
}
