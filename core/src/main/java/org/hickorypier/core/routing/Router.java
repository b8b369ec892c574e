package org.hickorypier.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkItem;

/**
 * Decides where a request runs: on this instance's own workers, on those of a peer, or later.
 *
 * <p>This instance may be full while others are not, and many instances look for free capacity in
 * the same second with digests up to a second old. Local workers are preferred, since each hop
 * costs a round trip. Otherwise the router uses the power of two choices: it draws two peers with
 * enough capacity and takes the better one. Choosing the peer with the most free capacity would
 * cause herding: every instance sees the same digests, and all would send a second's worth of work
 * to the same peer. Drawing two keeps the load of each peer near its fair share, however old the
 * digests are. Work sent to a peer since its last digest is deducted from its capacity, so one
 * instance alone cannot overfill the peer either.
 *
 * <p>Routing cannot loop: work moves from the instance where it entered to its home, and from there
 * to one peer, so it is forwarded at most {@link #MAX_HOPS} times; a peer without capacity returns
 * it to the home, which queues it.
 *
 * <p>Confined to the control thread. Time is passed in.
 */
public final class Router {

  /** Entry to home and home to peer; a third hop costs more than the wait in the queue. */
  public static final int MAX_HOPS = 2;

  /**
   * Older digests are ignored. Digests arrive every second with 8 instances and every 5 s with 60.
   * A dead link is detected within 3.5 s, so this limit is for a peer that is live but does not
   * send digests any more.
   */
  public static final long MAX_DIGEST_AGE_MILLIS = 12_000;

  private final RandomGenerator random;
  private final Map<String, Peer> peers = new HashMap<>();

  /**
   * Creates a router without peers.
   *
   * @param random the source of randomness for drawing peers
   */
  public Router(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Records a peer's digest. Work sent there before is either counted in it or is returned.
   *
   * @param peer the peer's name
   * @param capacity the free capacity that it reports
   * @param now the time in milliseconds
   */
  public void recordDigest(String peer, PeerCapacity capacity, long now) {
    peers.put(peer, new Peer(peer, capacity, now));
  }

  /**
   * Removes a peer whose link is down.
   *
   * @param peer the peer's name
   */
  public void removePeer(String peer) {
    peers.remove(peer);
  }

  /**
   * Records that a peer refused work for lack of capacity. It is sent nothing until its next
   * digest.
   *
   * @param peer the peer's name
   */
  public void recordRefusal(String peer) {
    Peer known = peers.get(peer);
    if (known != null) {
      known.refused = true;
    }
  }

  /**
   * Chooses the route of a piece of work.
   *
   * @param item the work
   * @param hops how many times it has been forwarded so far
   * @param atHome whether this instance is its home
   * @param fitsHere whether all its tasks can be placed on local workers now
   * @param now the time in milliseconds
   * @return the route; the work of a forward is deducted from the peer's capacity
   */
  public Route route(WorkItem item, int hops, boolean atHome, boolean fitsHere, long now) {
    if (fitsHere) {
      return new Route.Local();
    }
    if (!atHome) {
      return new Route.Return();
    }
    if (hops >= MAX_HOPS) {
      return new Route.Queue();
    }
    List<Peer> withCapacity = withCapacity(item, now);
    if (withCapacity.isEmpty()) {
      return new Route.Queue();
    }
    Peer chosen = betterOfTwo(withCapacity, item.resources());
    chosen.deduct(item);
    return new Route.Forward(chosen.name);
  }

  private List<Peer> withCapacity(WorkItem item, long now) {
    List<Peer> withCapacity = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean usable = !peer.refused && now - peer.digestMillis <= MAX_DIGEST_AGE_MILLIS;
      if (usable && peer.capacity.tasksThatFit(item.resources()) >= item.tasks()) {
        withCapacity.add(peer);
      }
    }
    return withCapacity;
  }

  private Peer betterOfTwo(List<Peer> withCapacity, Resources size) {
    int first = random.nextInt(withCapacity.size());
    if (withCapacity.size() == 1) {
      return withCapacity.get(first);
    }
    int step = 1 + random.nextInt(withCapacity.size() - 1);
    Peer one = withCapacity.get(first);
    Peer other = withCapacity.get((first + step) % withCapacity.size());
    return one.score(size) >= other.score(size) ? one : other;
  }

  private static final class Peer {
    private final String name;
    private final long digestMillis;
    private PeerCapacity capacity;
    private boolean refused;

    Peer(String name, PeerCapacity capacity, long digestMillis) {
      this.name = name;
      this.capacity = capacity;
      this.digestMillis = digestMillis;
    }

    // The tasks that wait at the peer take its capacity before newly forwarded ones.
    long score(Resources size) {
      return capacity.tasksThatFit(size) - capacity.waitingTasks();
    }

    void deduct(WorkItem item) {
      Resources size = item.resources();
      Resources taken =
          new Resources(
              Math.min(capacity.free().milliProcessors(), size.milliProcessors() * item.tasks()),
              Math.min(capacity.free().memoryMebibytes(), size.memoryMebibytes() * item.tasks()),
              Math.min(capacity.free().accelerators(), size.accelerators() * item.tasks()));
      capacity =
          new PeerCapacity(
              capacity.acceptsWork(),
              capacity.free().minus(taken),
              capacity.freeSlots() - item.tasks(),
              capacity.waitingTasks());
    }
  }
}
