package org.hickorypier.core.cell;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Bounds the calls under way to workers that have not answered this owner yet.
 *
 * <p>The load in question is a new owner on a weak machine: a call to each worker at once opens as
 * many connections, and the machine is still busy with them when the first timeouts expire. The
 * answers that wait unread then count as missing, and every worker is called again over a new
 * connection. The window therefore begins with what the machine handles well within a timeout, and
 * grows by one with each quick answer, so that all workers of a large fleet are called within a few
 * round trips where the machine keeps up.
 *
 * <p>Invariant: every call that was begun is ended by exactly one of {@link #answered} and {@link
 * #unanswered}. Confined to the control thread.
 */
public final class ContactWindow {

  /** Connections that one core opens, and answers that it handles, well within a timeout. */
  private static final double CALLS_PER_PROCESSOR = 100;

  private static final int MIN_LIMIT = 4;

  /** A worker answers within some 3 ms; an answer this late has waited for this machine. */
  static final long QUICK_ANSWER_MILLIS = 100;

  private final int initialLimit;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private int limit;
  private int underWay;

  /**
   * Creates an empty window.
   *
   * @param processors the cores of this machine, of which a part counts too; more than 0
   */
  public ContactWindow(double processors) {
    this.initialLimit = (int) Math.max(MIN_LIMIT, CALLS_PER_PROCESSOR * processors);
    this.limit = initialLimit;
  }

  /**
   * Begins a call now, or once there is room.
   *
   * @param call begins the call
   */
  public void begin(Runnable call) {
    waiting.add(call);
    beginNext();
  }

  /**
   * Records that a worker has answered its call.
   *
   * @param millis the time from the call to the answer, in milliseconds
   */
  public void answered(long millis) {
    underWay--;
    if (millis <= QUICK_ANSWER_MILLIS) {
      limit++;
    }
    beginNext();
  }

  /** Records that a call has had no answer in time, or was not made after all. */
  public void unanswered() {
    underWay--;
    limit = Math.max(initialLimit, limit / 2);
    beginNext();
  }

  private void beginNext() {
    while (underWay < limit && !waiting.isEmpty()) {
      underWay++;
      waiting.remove().run();
    }
  }
}
