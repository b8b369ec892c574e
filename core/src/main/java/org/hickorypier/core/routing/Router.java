package org.hickorypier.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkItem;

/**
 * Chooses where a request is run: on this instance's own workers, on a peer's, or later.
 *
 * <p>Load it is made for: this instance is full while others are not, and many instances look for
 * room in the same second with digests up to a second old. Own workers go first, since each hop
 * costs a round trip. Else two peers with room are drawn and the better one is taken. Taking the
 * emptiest of all would be the harm: every instance sees the same digests and all would send a
 * second's worth of work to the same peer. Drawing two keeps what each peer is sent near its fair
 * part, however old the digests. What was sent to a peer since its last digest is taken off its
 * room, so one instance alone cannot overfill it either.
 *
 * <p>It cannot loop: work travels from where it entered to its home, and from there to one peer, so
 * it is handed on {@link #MAX_HOPS} times at the most; a peer without room returns it to the home,
 * which queues it.
 *
 * <p>Not thread safe: it belongs to the control thread. Time is passed in.
 */
public final class Router {

  /** Entry to home, home to peer. A third hop would cost more than the wait in the queue. */
  public static final int MAX_HOPS = 2;

  /**
   * Digests come every second at 8 instances and every 5 s at 60. A peer whose link has been dead
   * is known within 3.5 s anyway; this limit is for one that lives and has stopped telling its
   * room.
   */
  public static final long MAX_DIGEST_AGE_MILLIS = 12_000;

  private final RandomGenerator random;
  private final Map<String, Peer> peers = new HashMap<>();

  /**
   * Creates a router that knows no peer.
   *
   * @param random draws the peers
   */
  public Router(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Takes in a peer's digest. What was sent there before is in it, or comes back.
   *
   * @param peer the peer's name
   * @param room its room
   * @param now the time
   */
  public void recordDigest(String peer, PeerCapacity room, long now) {
    peers.put(peer, new Peer(peer, room, now));
  }

  /**
   * Forgets a peer.
   *
   * @param peer the peer's name
   */
  public void removePeer(String peer) {
    peers.remove(peer);
  }

  /**
   * Hears that a peer had no room after all. Until its next digest it is sent nothing.
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
   * Chooses where a piece of work goes.
   *
   * @param item the work
   * @param hops how many times it was handed on so far
   * @param atHome whether this instance is its home
   * @param fitsHere whether all its tasks can be placed on own workers now
   * @param now the time
   * @return the choice; a forward is counted against the peer's room
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
    List<Peer> withRoom = withRoom(item, now);
    if (withRoom.isEmpty()) {
      return new Route.Queue();
    }
    Peer chosen = betterOfTwo(withRoom, item.resources());
    chosen.forwarded(item);
    return new Route.Forward(chosen.name);
  }

  private List<Peer> withRoom(WorkItem item, long now) {
    List<Peer> withRoom = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean useful = !peer.refused && now - peer.digestMillis <= MAX_DIGEST_AGE_MILLIS;
      if (useful && peer.room.tasksThatFit(item.resources()) >= item.tasks()) {
        withRoom.add(peer);
      }
    }
    return withRoom;
  }

  private Peer betterOfTwo(List<Peer> withRoom, Resources size) {
    int first = random.nextInt(withRoom.size());
    if (withRoom.size() == 1) {
      return withRoom.get(first);
    }
    int step = 1 + random.nextInt(withRoom.size() - 1);
    Peer one = withRoom.get(first);
    Peer other = withRoom.get((first + step) % withRoom.size());
    return one.merit(size) >= other.merit(size) ? one : other;
  }

  private static final class Peer {
    private final String name;
    private final long digestMillis;
    private PeerCapacity room;
    private boolean refused;

    Peer(String name, PeerCapacity room, long digestMillis) {
      this.name = name;
      this.room = room;
      this.digestMillis = digestMillis;
    }

    // What waits there will take room before what we send.
    long merit(Resources size) {
      return room.tasksThatFit(size) - room.waitingTasks();
    }

    void forwarded(WorkItem item) {
      Resources size = item.resources();
      Resources taken =
          new Resources(
              Math.min(room.free().milliProcessors(), size.milliProcessors() * item.tasks()),
              Math.min(room.free().memoryMebibytes(), size.memoryMebibytes() * item.tasks()),
              Math.min(room.free().accelerators(), size.accelerators() * item.tasks()));
      room =
          new PeerCapacity(
              room.acceptsWork(),
              room.free().minus(taken),
              room.freeSlots() - item.tasks(),
              room.waitingTasks());
    }
  }
}
