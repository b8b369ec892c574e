package org.hickorypier.daemon.work;

import org.hickorypier.core.scheduling.PlacedTask;

/**
 * The state of one task from its placement until its end is known.
 *
 * <p>Confined to the control thread. Invariant: {@code orderUncertain} stays true from the first
 * start order whose effect is unknown until the worker has reported its effect.
 */
final class TaskRun {

  private final PlacedTask task;
  private final byte[] payload;
  private boolean orderUncertain;
  private boolean started;
  private boolean ended;
  private boolean callPending;
  private long highestToken;
  private int retries;

  TaskRun(PlacedTask task, byte[] payload) {
    this.task = task;
    this.payload = payload;
  }

  PlacedTask task() {
    return task;
  }

  byte[] payload() {
    return payload;
  }

  boolean isOrderUncertain() {
    return orderUncertain;
  }

  void setOrderUncertain(boolean uncertain) {
    orderUncertain = uncertain;
  }

  boolean isStarted() {
    return started;
  }

  void setStarted() {
    started = true;
    orderUncertain = false;
    retries = 0;
  }

  boolean isEnded() {
    return ended;
  }

  void setEnded() {
    ended = true;
  }

  boolean isCallPending() {
    return callPending;
  }

  void setCallPending(boolean pending) {
    callPending = pending;
  }

  long highestToken() {
    return highestToken;
  }

  void recordOrderToken(long token) {
    highestToken = Math.max(highestToken, token);
  }

  int nextRetryNumber() {
    return retries++;
  }

  boolean wantsAnswer() {
    return task.workClass().isSynchronous();
  }
}
