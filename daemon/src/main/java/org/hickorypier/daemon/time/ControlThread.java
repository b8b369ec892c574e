package org.hickorypier.daemon.time;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The single thread to which all control state is confined, with the timers that run on it.
 *
 * <p>Invariant: tasks run one after another, in the order of their submission. Thread-safe. An
 * exception of a task is logged and ends neither the thread nor the task's timer.
 */
public final class ControlThread implements Executor, TimerService, AutoCloseable {

  private static final Logger LOGGER = System.getLogger(ControlThread.class.getName());

  private final long startNanos = System.nanoTime();
  private final ScheduledThreadPoolExecutor executor;

  /** Starts the thread. */
  public ControlThread() {
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "control");
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
  }

  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(withErrorLogging(task));
    } catch (RejectedExecutionException error) {
      LOGGER.log(Level.DEBUG, "control: closed, task dropped");
    }
  }

  @Override
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  @Override
  public TimerSubscription every(Duration period, Runnable task) {
    long periodMillis = period.toMillis();
    var future =
        executor.scheduleWithFixedDelay(
            withErrorLogging(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable task) {
    var future = executor.schedule(withErrorLogging(task), delay.toMillis(), TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private static Runnable withErrorLogging(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException error) {
        LOGGER.log(Level.ERROR, "control: task failed", error);
      }
    };
  }
}
