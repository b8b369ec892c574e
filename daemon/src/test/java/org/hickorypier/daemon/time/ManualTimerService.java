package org.hickorypier.daemon.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;

/** Timer service whose clock advances only through {@link #advance}. Not thread-safe. */
public final class ManualTimerService implements TimerService, Executor {

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingLong((Entry entry) -> entry.dueMillis)
              .thenComparingLong(entry -> entry.sequence));
  private long nowMillis;
  private long nextSequence;

  @Override
  public long nowMillis() {
    return nowMillis;
  }

  @Override
  public TimerSubscription every(Duration period, Runnable task) {
    return add(period.toMillis(), period.toMillis(), task);
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable task) {
    return add(delay.toMillis(), 0, task);
  }

  /** Runs the task immediately on the calling thread, which stands in for the control thread. */
  @Override
  public void execute(Runnable task) {
    task.run();
  }

  /** Advances the clock and runs the tasks that fall due, in order. */
  public void advance(Duration by) {
    long targetMillis = nowMillis + by.toMillis();
    while (!entries.isEmpty() && entries.peek().dueMillis <= targetMillis) {
      Entry entry = entries.poll();
      nowMillis = Math.max(nowMillis, entry.dueMillis);
      if (entry.periodMillis > 0) {
        entry.dueMillis += entry.periodMillis;
        entries.add(entry);
      }
      entry.task.run();
    }
    nowMillis = targetMillis;
  }

  /** Advances the clock without running any task, as while the thread is busy. */
  public void delayNext(Duration by) {
    nowMillis += by.toMillis();
  }

  private TimerSubscription add(long delayMillis, long periodMillis, Runnable task) {
    Entry entry = new Entry();
    entry.dueMillis = nowMillis + delayMillis;
    entry.periodMillis = periodMillis;
    entry.sequence = nextSequence++;
    entry.task = task;
    entries.add(entry);
    return () -> entries.remove(entry);
  }

  private static final class Entry {
    private long dueMillis;
    private long periodMillis;
    private long sequence;
    private Runnable task;
  }
}
