package org.hickorypier.measure.takeover;

import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hickorypier.measure.fleet.Fleet;
import org.hickorypier.measure.fleet.FleetException;
import org.hickorypier.measure.fleet.RequestForm;

/**
 * Callers of several teams who post requests at a steady rate, whatever becomes of earlier ones.
 *
 * <p>Thread safe.
 */
final class Load {

  private static final int MOST_RUN_MILLIS = 400;
  private static final int MOST_ANSWER_BYTES = 3_000;
  private static final long END_SECONDS = 90;

  private final Fleet fleet;
  private final Balancer balancer;
  private final TreeMap<String, String> keys;
  private final Random random = new Random(11);
  private final ConcurrentLinkedQueue<LoadEntry> entries = new ConcurrentLinkedQueue<>();
  private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private int posted;

  Load(Fleet fleet, Balancer balancer, TreeMap<String, String> keys, int perSecond) {
    this.fleet = fleet;
    this.balancer = balancer;
    this.keys = keys;
    long nanos = TimeUnit.SECONDS.toNanos(1) / perSecond;
    clock.scheduleAtFixedRate(this::post, 0, nanos, TimeUnit.NANOSECONDS);
  }

  /** Posts no more and waits for the answers that are due. */
  List<LoadEntry> end() throws FleetException {
    clock.shutdown();
    callers.shutdown();
    try {
      if (!clock.awaitTermination(END_SECONDS, TimeUnit.SECONDS)
          || !callers.awaitTermination(END_SECONDS, TimeUnit.SECONDS)) {
        throw new FleetException("callers still wait", null);
      }
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", error);
    }
    return List.copyOf(entries);
  }

  private void post() {
    List<String> teams = List.copyOf(keys.keySet());
    String team = teams.get(posted % teams.size());
    RequestForm form =
        RequestForm.request(
            "r" + posted,
            random.nextBoolean(),
            random.nextInt(MOST_RUN_MILLIS),
            random.nextInt(MOST_ANSWER_BYTES));
    posted++;
    CallerTurn turn = new CallerTurn(fleet, balancer, team, keys.get(team), form);
    callers.execute(() -> entries.add(turn.settle()));
  }
}
