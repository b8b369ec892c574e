package org.hickorypier.measure.delivery;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.message.DigestBudget;
import org.hickorypier.wire.message.DigestReader;
import org.hickorypier.wire.message.DigestWriter;
import org.hickorypier.wire.message.Frame;
import org.hickorypier.wire.message.NumberedUse;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.PeerMessage.DigestChange;
import org.hickorypier.wire.message.TeamUse;

/**
 * The digests of one busy instance, second by second, and their bytes as they are really encoded.
 *
 * <p>Every team has tasks running at the instance. Each second a fifth of them end, as with tasks
 * of five seconds, and about as many start. Not thread safe.
 */
final class DigestLoad {

  private static final int CLASSES = 5;
  private static final int TURNOVER = 5;
  private static final int SECONDS = 600;

  private final MessagePackCodec<PeerMessage> codec = new MessagePackCodec<>(PeerMessage.class);
  private final DigestWriter unboundedWriter = new DigestWriter();
  private final DigestWriter boundedWriter = new DigestWriter();
  private final DigestReader reader = new DigestReader();
  private final DigestBudget budget = new DigestBudget();
  private final RandomGenerator random = new SplittableRandom(11);
  private final int[] running;
  private final int tasksEach;
  private long offset = 100_000;
  private Digest known;
  private long named;
  private long unbounded;
  private long bounded;
  private int digests;
  private int first;
  private int fixed;
  private int each;
  private double error;

  /**
   * Creates the load.
   *
   * @param teams the number of teams
   * @param tasks how many tasks run at the instance
   */
  DigestLoad(int teams, int tasks) {
    running = new int[teams];
    tasksEach = Math.max(1, tasks / teams);
    Arrays.fill(running, tasksEach);
  }

  /**
   * Measures what ten minutes of digests cost on each of an instance's links.
   *
   * @param links how many links share the budget
   */
  DigestFigures measure(int links) {
    for (int second = 0; second < SECONDS; second++) {
      step();
      Digest digest = digest();
      named += frameBytes(digest);
      DigestChange all = unboundedWriter.change(digest, Integer.MAX_VALUE);
      unbounded += frameBytes(all);
      noteParts(all);
      sendBounded(digest, second, links);
    }
    return new DigestFigures(
        (double) named / SECONDS,
        first,
        (double) unbounded / SECONDS,
        (double) bounded / SECONDS,
        fixed,
        each,
        (double) SECONDS / digests,
        error / SECONDS);
  }

  private void noteParts(DigestChange change) {
    int whole = frameBytes(change);
    if (first == 0) {
      first = whole;
    }
    fixed = Math.max(fixed, frameBytes(without(change, List.of())));
    change.uses().stream()
        .mapToInt(use -> frameBytes(without(change, List.of(use))) - fixed)
        .forEach(bytes -> each = Math.max(each, bytes));
  }

  private static DigestChange without(DigestChange change, List<NumberedUse> uses) {
    return new DigestChange(
        change.configurationOffset(),
        change.logAgeMillis(),
        change.taking(),
        change.milliProcessors(),
        change.memoryMebibytes(),
        change.accelerators(),
        change.slots(),
        change.waiting(),
        change.fresh(),
        List.of(),
        uses);
  }

  private void sendBounded(Digest digest, int second, int links) {
    int mostUses = budget.mostUses(second * 1_000L, links);
    if (mostUses >= 0) {
      DigestChange change = boundedWriter.change(digest, mostUses);
      int bytes = frameBytes(change);
      budget.spent(bytes);
      bounded += bytes;
      digests++;
      try {
        known = reader.read(change);
      } catch (UndecodableException broken) {
        throw new IllegalStateException("own digest cannot be read", broken);
      }
    }
    error += errorOf(digest);
  }

  private double errorOf(Digest truth) {
    long off = 0;
    long sum = 0;
    for (TeamUse use : truth.teams()) {
      int read =
          known.teams().stream()
              .filter(other -> other.team().equals(use.team()))
              .mapToInt(TeamUse::running)
              .sum();
      off += Math.abs(read - use.running());
      sum += use.running();
    }
    return sum == 0 ? 0 : (double) off / sum;
  }

  private void step() {
    offset++;
    for (int team = 0; team < running.length; team++) {
      int ended = (int) Math.round(running[team] * random.nextDouble() * 2 / TURNOVER);
      int started = (int) Math.round(tasksEach * random.nextDouble() * 2 / TURNOVER);
      running[team] = running[team] - ended + started;
    }
  }

  private Digest digest() {
    List<TeamUse> teams = new ArrayList<>();
    int sum = 0;
    for (int team = 0; team < running.length; team++) {
      sum += running[team];
      int tasks = running[team];
      teams.add(
          new TeamUse("branch-team-" + team, tasks, tasks / 4, tasks * 1_000L, tasks * 4_096L, 0));
    }
    List<Integer> waiting = new ArrayList<>();
    for (int workClass = 0; workClass < CLASSES; workClass++) {
      waiting.add(sum / 4 / CLASSES);
    }
    return new Digest(
        offset, random.nextInt(1_000), true, sum * 500L, sum * 2_048L, 3, sum / 2, waiting, teams);
  }

  private int frameBytes(PeerMessage message) {
    return Frame.HEADER_BYTES + codec.encode(message).length;
  }
}
