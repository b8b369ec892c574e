package org.hickorypier.daemon.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;

/** A timer service whose time moves only when a test says so. Not thread safe. */
public final class ManualTimerService implements TimerService, Executor {

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingLong((Entry entry) -> entry.due)
              .thenComparingLong(entry -> entry.order));
  private long now;
  private long nextOrder;

  @Override
  public long nowMillis() {
    return now;
  }

  @Override
  public TimerSubscription every(Duration period, Runnable task) {
    return add(period.toMillis(), period.toMillis(), task);
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable task) {
    return add(delay.toMillis(), 0, task);
  }

  /** Runs the task at once, in place of the control thread. */
  @Override
  public void execute(Runnable task) {
    task.run();
  }

  /** Moves time forward and runs what falls due, in order. */
  public void advance(Duration by) {
    long target = now + by.toMillis();
    while (!entries.isEmpty() && entries.peek().due <= target) {
      Entry entry = entries.poll();
      now = Math.max(now, entry.due);
      if (entry.period > 0) {
        entry.due += entry.period;
        entries.add(entry);
      }
      entry.task.run();
    }
    now = target;
  }

  private TimerSubscription add(long delay, long period, Runnable task) {
    Entry entry = new Entry();
    entry.due = now + delay;
    entry.period = period;
    entry.order = nextOrder++;
    entry.task = task;
    entries.add(entry);
    return () -> entries.remove(entry);
  }

  private static final class Entry {
    private long due;
    private long period;
    private long order;
    private Runnable task;
  }
}
