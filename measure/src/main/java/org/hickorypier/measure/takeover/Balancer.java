package org.hickorypier.measure.takeover;

import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorypier.measure.fleet.EntryProcess;
import org.hickorypier.measure.fleet.Fleet;

/**
 * Stands for the platform's balancer: deals requests out at random over the instances whose last
 * check of readiness was answered.
 *
 * <p>Thread safe. An instance that dies or sleeps still gets requests until its check has timed
 * out.
 */
final class Balancer implements Supplier<EntryProcess>, AutoCloseable {

  private static final long CHECK_MILLIS = 500;
  private static final long CHECK_TIMEOUT_MILLIS = 1_000;
  private static final int THREADS = 16;

  private final Fleet fleet;
  private final Random random;
  private final ConcurrentHashMap<String, Boolean> unready = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, Boolean> checking = new ConcurrentHashMap<>();
  private final ScheduledExecutorService executor =
      Executors.newScheduledThreadPool(
          THREADS,
          task -> {
            Thread thread = new Thread(task, "balancer");
            thread.setDaemon(true);
            return thread;
          });

  Balancer(Fleet fleet, long seed) {
    this.fleet = fleet;
    this.random = new Random(seed);
    executor.scheduleAtFixedRate(this::checkAll, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public EntryProcess get() {
    List<EntryProcess> all = fleet.entries();
    List<EntryProcess> ready =
        all.stream().filter(entry -> !unready.containsKey(entry.name())).toList();
    List<EntryProcess> choice = ready.isEmpty() ? all : ready;
    return choice.get(random.nextInt(choice.size()));
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void checkAll() {
    for (EntryProcess entry : fleet.entries()) {
      if (checking.putIfAbsent(entry.name(), true) == null) {
        executor.execute(() -> check(entry));
      }
    }
  }

  private void check(EntryProcess entry) {
    if (fleet.isReady(entry, CHECK_TIMEOUT_MILLIS)) {
      unready.remove(entry.name());
    } else {
      unready.put(entry.name(), true);
    }
    checking.remove(entry.name());
  }
}
