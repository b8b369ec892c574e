package org.hickorypier.core.cell;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the start orders in transit, those that are sent and not answered yet.
 *
 * <p>Load: a submission of 20,000 small tasks with a long text, all of which have room at once. An
 * order carries the text of its submission and waits in this process until one of the few
 * connections to its worker is free. Without a bound the orders take more memory than the process
 * has, and lease renewals wait behind them until the leases expire. A task whose order does not fit
 * keeps its place in the order of urgency. Part of the window is kept for urgent work.
 *
 * <p>Confined to the control thread.
 */
final class OrderWindow {

  /** Bounds how long a lease renewal waits behind orders for a connection to its worker. */
  private static final int MAX_ORDERS_PER_WORKER = 64;

  /** Allowance for an order beside its text: the request, its timers and its callbacks. */
  private static final int ORDER_BYTES = 4_096;

  /** Share of the window that work may take which is not urgent. */
  private static final double COMMON_SHARE = 0.75;

  /** Memory for the orders in transit unless another amount is set. */
  private static final long DEFAULT_LIMIT_BYTES = 8 << 20;

  private long limitBytes = DEFAULT_LIMIT_BYTES;
  private long bytesInTransit;

  /** The gangs that wait in the present pass until all of each fits, the first one first. */
  private final Set<StepRun> waitingGangs = new LinkedHashSet<>();

  /** Whether a task waits for room in the window. */
  private boolean awaited;

  /** Sets the memory that the orders in transit may take, in bytes. */
  void setLimitBytes(long bytes) {
    limitBytes = bytes;
  }

  void beginPass() {
    waitingGangs.clear();
  }

  /**
   * Returns how many tasks of a step may be ordered now; at least one if nothing is in transit, so
   * that a task with an order larger than the window is started as well.
   */
  int room(StepRun step) {
    if (isKeptFromOthers(step)) {
      return 0;
    }
    long left = Math.round(share(step) * limitBytes) - bytesInTransit;
    long tasks = Math.min(Integer.MAX_VALUE, Math.max(0, left) / bytesOf(step));
    return (int) Math.max(tasks, bytesInTransit == 0 ? 1 : 0);
  }

  /** Returns how many more tasks of a step may be ordered from a worker now. */
  int roomAt(WorkerView worker, StepRun step) {
    long most = Math.round(share(step) * MAX_ORDERS_PER_WORKER);
    return (int) Math.max(0, most - worker.ordersInTransit);
  }

  /**
   * Returns whether the room is kept for a gang. A step that is more urgent may be placed after it,
   * if it becomes ready during the pass.
   */
  private boolean isKeptFromOthers(StepRun step) {
    if (waitingGangs.isEmpty()) {
      return false;
    }
    StepRun first = waitingGangs.iterator().next();
    return first != step && (first.urgent || !step.urgent);
  }

  private static double share(StepRun step) {
    return step.urgent ? 1 : COMMON_SHARE;
  }

  /**
   * Returns whether the members of a gang, which start together, may be ordered now. If not, no
   * later step of the pass gets room, or a large gang would wait for as long as others come. One
   * that is larger than the window is ordered when little else than urgent work is in transit.
   */
  boolean admitsGang(StepRun gang, int members) {
    boolean mostlyFree = bytesInTransit <= (1 - COMMON_SHARE) * limitBytes;
    if (members <= room(gang) || mostlyFree && !isKeptFromOthers(gang)) {
      return true;
    }
    waitingGangs.add(gang);
    return false;
  }

  /** Returns whether a gang waits in the present pass until all of it fits. */
  boolean isWaiting(StepRun gang) {
    return waitingGangs.contains(gang);
  }

  /** Records that a task waits for room, so that a pass follows the next answer. */
  void awaitRoom() {
    awaited = true;
  }

  void recordOrder(Run run) {
    run.ordersInTransit++;
    run.worker.ordersInTransit++;
    bytesInTransit += bytesOf(run.task.step);
  }

  /**
   * Records the answer to an order, or that there is none.
   *
   * @return whether a task waits for the room
   */
  boolean recordAnswer(Run run) {
    if (run.ordersInTransit == 0) {
      return false;
    }
    run.ordersInTransit--;
    run.worker.ordersInTransit--;
    bytesInTransit -= bytesOf(run.task.step);
    boolean wanted = awaited;
    awaited = false;
    return wanted;
  }

  private static long bytesOf(StepRun step) {
    return ORDER_BYTES + step.submission.spec().text().length();
  }
}
