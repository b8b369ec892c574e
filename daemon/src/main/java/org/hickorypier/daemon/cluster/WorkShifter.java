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
 * Sends work that waits here to peers that have room.
 *
 * <p>Belongs to the control thread. Load: the keys of one team, or the workers that run long tasks,
 * fall unevenly on the instances, so one is full while others are idle. Harm prevented: callers of
 * a full home wait, or are refused, beside idle workers. Work that its home sent here is not sent
 * on, so nothing travels further than from its entry to its home and from there to one peer.
 */
public final class WorkShifter implements PeerListener {

  /** Work that starts at once at home must not travel; most of it starts within this time. */
  private static final long WAIT_AT_HOME_MILLIS = 50;

  private static final Duration PERIOD = Duration.ofMillis(100);

  /** At the most as many in one look as eight workers have slots; the next look takes more. */
  private static final int SHIFTS_IN_A_LOOK = 64;

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
   * @param cluster the other instances
   * @param scheduler the decisions
   * @param work the work decided here
   * @param timers the time
   * @param control the control thread
   * @param history remembers work that was lost with a peer
   * @param random draws the peers
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

  /** Starts to look for work that could run elsewhere. */
  public void start() {
    timers.every(PERIOD, this::look);
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

  private void look() {
    long now = timers.nowMillis();
    int shifted = 0;
    for (WorkItem item : scheduler.queued()) {
      if (shifted == SHIFTS_IN_A_LOOK) {
        return;
      }
      if (now - item.submittedMillis() >= WAIT_AT_HOME_MILLIS && shift(item, now)) {
        shifted++;
      }
    }
  }

  private boolean shift(WorkItem item, long now) {
    Route route = router.route(item, Cluster.TO_HOME, true, false, now);
    if (!(route instanceof Route.Forward forward)) {
      return false;
    }
    return work.shift(
        item.key(),
        submission ->
            cluster
                .shift(forward.peer(), submission)
                .invoke(
                    result ->
                        control.execute(() -> noteResult(item.key(), forward.peer(), result))));
  }

  // The peer may have started the work before it was lost. A caller who comes back must not have it
  // run a second time beside that: the history makes the home ask for it first.
  private void noteResult(WorkKey key, String peer, WorkResult result) {
    if (result.refusal().isPresent()) {
      router.recordRefusal(peer);
    } else if (result.outcome() == Outcome.UNKNOWN) {
      history.recordLostForward(key.toString(), peer, timers.nowMillis());
    }
  }
}
