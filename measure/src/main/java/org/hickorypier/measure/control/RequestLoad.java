package org.hickorypier.measure.control;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickorypier.measure.fleet.EntryProcess;
import org.hickorypier.measure.fleet.Fleet;
import org.hickorypier.measure.fleet.FleetException;
import org.hickorypier.measure.fleet.RequestForm;

/**
 * Short idempotent requests at a steady rate, dealt out to the daemons in turn.
 *
 * <p>Belongs to one thread, but for {@link #completed}.
 */
final class RequestLoad {

  private static final long RUN_MILLIS = 100;
  private static final long ANSWER_BYTES = 500;
  private static final int MOST_CALLERS = 64;
  private static final long END_SECONDS = 30;

  private final Fleet fleet;
  private final String key;
  private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
  private final ExecutorService callers = Executors.newFixedThreadPool(MOST_CALLERS);
  private final AtomicInteger completed = new AtomicInteger();
  private final AtomicInteger others = new AtomicInteger();
  private int posted;

  RequestLoad(Fleet fleet, String key, int perSecond) {
    this.fleet = fleet;
    this.key = key;
    long nanos = TimeUnit.SECONDS.toNanos(1) / perSecond;
    clock.scheduleAtFixedRate(this::post, 0, nanos, TimeUnit.NANOSECONDS);
  }

  /** Returns how many requests ended as completed so far. */
  int completed() {
    return completed.get();
  }

  /** Returns how many ended in any other way so far. */
  int others() {
    return others.get();
  }

  /** Posts no more and waits for the answers that are due. */
  void end() throws FleetException {
    clock.shutdown();
    try {
      boolean ended = clock.awaitTermination(END_SECONDS, TimeUnit.SECONDS);
      callers.shutdown();
      if (!ended || !callers.awaitTermination(END_SECONDS, TimeUnit.SECONDS)) {
        throw new FleetException("callers still wait", null);
      }
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", error);
    }
  }

  private void post() {
    List<EntryProcess> entries = fleet.entries();
    EntryProcess entry = entries.get(posted % entries.size());
    RequestForm form = RequestForm.request("c" + posted, true, RUN_MILLIS, ANSWER_BYTES);
    posted++;
    callers.execute(
        () -> {
          AtomicInteger ending = fleet.call(entry, key, form).completed() ? completed : others;
          ending.incrementAndGet();
        });
  }
}
