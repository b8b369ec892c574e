package org.hickorypier.daemon.cluster;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.hickorypier.core.membership.HomeHistory;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.routing.PeerCapacity;
import org.hickorypier.core.routing.Route;
import org.hickorypier.core.routing.Router;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerListener;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.daemon.work.WorkService;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Digest;

/**
 * Sends work that waits at its home to peers with free capacity.
 *
 * <p>Confined to the control thread. The keys of one team, and the workers that run long tasks, are
 * unevenly distributed over the instances, so one instance is full while others are idle. Without
 * shifting, callers of a full home wait or are refused while workers are idle. Work that its home
 * sent here is not sent on, so work moves at most from its entry instance to its home and from
 * there to one peer.
 */
public final class WorkShifter implements PeerListener {

  /**
   * Work that can start immediately at its home must stay there; most of it starts within this
   * time.
   */
  private static final long MIN_WAIT_AT_HOME_MILLIS = 50;

  private static final Duration SHIFT_PERIOD = Duration.ofMillis(100);

  /**
   * One pass shifts at most as many items as eight workers have slots; the next pass shifts more.
   */
  private static final int MAX_SHIFTS_PER_PASS = 64;

  private final Cluster cluster;
  private final Scheduler scheduler;
  private final WorkService work;
  private final TimerService timers;
  private final Executor control;
  private final HomeHistory history;
  private final Router router;

  /**
   * Creates a shifter.
   *
   * @param cluster this instance's view of the other instances
   * @param scheduler the local scheduler
   * @param work the work that this instance schedules
   * @param timers the clock and the periodic timers
   * @param control the executor of the control thread
   * @param history records work that was sent to a peer and lost with it
   * @param random selects the peers
   */
  public WorkShifter(
      Cluster cluster,
      Scheduler scheduler,
      WorkService work,
      TimerService timers,
      Executor control,
      HomeHistory history,
      RandomGenerator random) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.work = work;
    this.timers = timers;
    this.control = control;
    this.history = history;
    this.router = new Router(random);
  }

  /** Starts the periodic search for work that other instances could run. */
  public void start() {
    timers.every(SHIFT_PERIOD, this::shiftWaitingWork);
  }

  @Override
  public void message(PeerIdentity peer, PeerMessage message) {
    if (message instanceof Digest digest) {
      Resources free =
          new Resources(digest.milliProcessors(), digest.memoryMebibytes(), digest.accelerators());
      int waiting = digest.waiting().stream().mapToInt(Integer::intValue).sum();
      PeerCapacity room = new PeerCapacity(digest.taking(), free, digest.slots(), waiting);
      router.recordDigest(peer.name(), room, timers.nowMillis());
    }
  }

  @Override
  public void down(PeerIdentity peer) {
    router.removePeer(peer.name());
  }

  private void shiftWaitingWork() {
    long now = timers.nowMillis();
    int shifted = 0;
    for (WorkItem item : scheduler.queued()) {
      if (shifted == MAX_SHIFTS_PER_PASS) {
        return;
      }
      if (now - item.submittedMillis() >= MIN_WAIT_AT_HOME_MILLIS && shift(item, now)) {
        shifted++;
      }
    }
  }

  private boolean shift(WorkItem item, long now) {
    Route route = router.route(item, Cluster.HOPS_TO_HOME, true, false, now);
    if (!(route instanceof Route.Forward forward)) {
      return false;
    }
    return work.moveToPeer(
        item.key(),
        submission ->
            cluster
                .shift(forward.peer(), submission)
                .invoke(
                    result ->
                        control.execute(() -> onShiftResult(item.key(), forward.peer(), result))));
  }

  // The peer may have started the work before it was lost. When the caller retries, the history
  // makes the home ask about the work first, which prevents a second concurrent run.
  private void onShiftResult(WorkKey key, String peer, WorkResult result) {
    if (result.refusal().isPresent()) {
      router.recordRefusal(peer);
    } else if (result.outcome() == Outcome.UNKNOWN) {
      history.recordLostForward(key.toString(), peer, timers.nowMillis());
    }
  }
}
