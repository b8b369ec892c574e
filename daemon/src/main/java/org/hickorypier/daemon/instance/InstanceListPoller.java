package org.hickorypier.daemon.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.instance.InstanceList;
import org.hickorypier.platform.instance.ListedInstance;

/**
 * Reads the platform's instance list periodically.
 *
 * <p>Confined to the control thread. While the list cannot be read, the last one remains in force;
 * failures of workers and peers are still detected by whether they answer.
 */
public final class InstanceListPoller {

  private static final Logger LOGGER = System.getLogger(InstanceListPoller.class.getName());

  private final InstanceList list;
  private final TimerService timers;
  private final Executor control;
  private final Consumer<List<ListedInstance>> listener;
  private boolean readPending;
  private boolean lastReadFailed;

  /**
   * Creates a poller, which is inactive until {@link #start}.
   *
   * @param list the platform's instance list
   * @param timers the timers
   * @param control executes tasks on the control thread
   * @param listener receives each list that is read
   */
  public InstanceListPoller(
      InstanceList list,
      TimerService timers,
      Executor control,
      Consumer<List<ListedInstance>> listener) {
    this.list = list;
    this.timers = timers;
    this.control = control;
    this.listener = listener;
  }

  /**
   * Reads the list immediately and then periodically.
   *
   * @param period the time between two reads
   */
  public void start(Duration period) {
    timers.every(period, this::poll);
    poll();
  }

  private void poll() {
    if (readPending) {
      return;
    }
    readPending = true;
    list.read()
        .subscribe()
        .with(
            instances -> control.execute(() -> onRead(instances)),
            error -> control.execute(() -> onReadFailed(error)));
  }

  private void onRead(List<ListedInstance> instances) {
    readPending = false;
    if (lastReadFailed) {
      LOGGER.log(Level.INFO, "instances: list can be read again");
    }
    lastReadFailed = false;
    listener.accept(instances);
  }

  private void onReadFailed(Throwable error) {
    readPending = false;
    if (!lastReadFailed) {
      LOGGER.log(Level.WARNING, "instances: list cannot be read: {0}", error.getMessage());
    }
    lastReadFailed = true;
  }
}
