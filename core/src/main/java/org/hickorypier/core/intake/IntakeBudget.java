package org.hickorypier.core.intake;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which connections of a listener are given up, so that its clients together stay within
 * {@link IntakeLimits}.
 *
 * <p>Load it answers: many clients that each stay within the limits for one request, but send large
 * requests at once, stop short of the end and stay connected. The connection that holds most is
 * given up first, the one that has been in its phase for longest among equals; so small requests
 * that arrive whole are served beside such clients. A connection that waits for an answer is never
 * given up.
 *
 * <p>Invariants: as long as no connection waits, at most the permitted connections are open and at
 * most the permitted bytes are held after each call; connections that wait hold no more than when
 * they began to wait. Not thread-safe.
 *
 * @param <C> the type of a connection, compared by {@code equals}
 */
public final class IntakeBudget<C> {

  /** In the order in which the connections have entered their phases. */
  private final Map<C, Holding> holdings = new LinkedHashMap<>();

  private final IntakeLimits limits;
  private long heldBytes;

  private record Holding(IntakePhase phase, long bytes) {}

  /**
   * Creates a budget of which nothing is used.
   *
   * @param limits the limits
   */
  public IntakeBudget(IntakeLimits limits) {
    this.limits = limits;
  }

  /**
   * Records a new connection, which is idle.
   *
   * @param connection the connection
   * @return the connections to give up, which are no longer recorded; the new one only if all
   *     others wait
   */
  public List<C> open(C connection) {
    List<C> givenUp = new ArrayList<>();
    while (!holdings.isEmpty() && holdings.size() >= limits.connections()) {
      C oldest = oldest(IntakePhase.IDLE);
      oldest = oldest == null ? oldest(IntakePhase.RECEIVING) : oldest;
      if (oldest == null) {
        givenUp.add(connection);
        return givenUp;
      }
      close(oldest);
      givenUp.add(oldest);
    }
    holdings.put(connection, new Holding(IntakePhase.IDLE, 0));
    return givenUp;
  }

  /**
   * Records what a connection does and holds. Nothing is recorded for one that was closed or given
   * up.
   *
   * @param connection the connection
   * @param phase what it does
   * @param bytes the memory that it holds, in bytes
   * @return the connections to give up, which are no longer recorded; this one may be among them
   */
  public List<C> update(C connection, IntakePhase phase, long bytes) {
    Holding before = holdings.get(connection);
    if (before == null) {
      return List.of();
    }
    if (before.phase() != phase) {
      holdings.remove(connection);
    }
    holdings.put(connection, new Holding(phase, bytes));
    heldBytes += bytes - before.bytes();
    return bytes > before.bytes() ? reduceFor(connection) : List.of();
  }

  /** Gives up connections until the limits hold, the lower one while this connection is kept. */
  private List<C> reduceFor(C growing) {
    List<C> givenUp = new ArrayList<>();
    while (heldBytes > limitBytes(growing)) {
      C largest = largest();
      if (largest == null) {
        break;
      }
      close(largest);
      givenUp.add(largest);
    }
    return givenUp;
  }

  private long limitBytes(C growing) {
    Holding holding = holdings.get(growing);
    return limits.bytesWhileHolding(holding == null ? 0 : holding.bytes());
  }

  /**
   * Records that a connection was closed.
   *
   * @param connection the connection
   */
  public void close(C connection) {
    Holding removed = holdings.remove(connection);
    heldBytes -= removed == null ? 0 : removed.bytes();
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number, without those that were given up
   */
  public int connections() {
    return holdings.size();
  }

  /**
   * Returns the memory that all connections hold.
   *
   * @return the memory in bytes
   */
  public long heldBytes() {
    return heldBytes;
  }

  private C oldest(IntakePhase phase) {
    for (Map.Entry<C, Holding> entry : holdings.entrySet()) {
      if (entry.getValue().phase() == phase) {
        return entry.getKey();
      }
    }
    return null;
  }

  /** Returns the connection that holds most of those that do not wait, or null. */
  private C largest() {
    C largest = null;
    long most = 0;
    for (Map.Entry<C, Holding> entry : holdings.entrySet()) {
      Holding holding = entry.getValue();
      if (holding.phase() != IntakePhase.WAITING && holding.bytes() > most) {
        largest = entry.getKey();
        most = holding.bytes();
      }
    }
    return largest;
  }
}
