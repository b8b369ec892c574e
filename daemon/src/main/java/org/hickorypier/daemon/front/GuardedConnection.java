package org.hickorypier.daemon.front;

import io.vertx.core.http.HttpConnection;
import org.hickorypier.core.intake.IntakePhase;

/**
 * What a connection does and holds.
 *
 * <p>Invariant: a request that was passed on counts until its reply has come, even if its caller
 * has gone, since its content is kept until then. Confined to the event loop of its listener.
 */
public final class GuardedConnection {

  /** A line is held in a buffer of up to twice its length, and once as values. */
  private static final int COPIES_OF_HEAD = 3;

  private final HttpConnection connection;
  private boolean inHead;
  private long maxHeadBytes;
  private long keptBytes;
  private long bodyBytes;
  private IntakePhase requestPhase = IntakePhase.IDLE;
  private int endedRequests;
  private int passedOn;
  private Runnable endHandler = () -> {};
  private boolean closed;

  GuardedConnection(HttpConnection connection) {
    this.connection = connection;
  }

  /**
   * Returns the connection.
   *
   * @return the connection
   */
  public HttpConnection connection() {
    return connection;
  }

  /** Records the heads; the decoder keeps a buffer as long as the longest line so far. */
  void recordHead(boolean inHead, int maxHeadBytes) {
    this.inHead = inHead;
    this.maxHeadBytes = maxHeadBytes;
  }

  /** Records the length of the body of the request that is being read. */
  void recordBody(int length) {
    requestPhase = IntakePhase.RECEIVING;
    bodyBytes = capacityFor(length);
  }

  /** Records that the request is complete. */
  void recordComplete() {
    requestPhase = IntakePhase.WAITING;
  }

  /** Records that the request is answered or given up. */
  void recordEnd() {
    requestPhase = IntakePhase.IDLE;
    bodyBytes = passedOn == 0 ? 0 : bodyBytes;
    endedRequests++;
    endHandler.run();
  }

  /** Sets what is called after each end of a request. */
  void onEnd(Runnable handler) {
    endHandler = handler;
  }

  int endedRequests() {
    return endedRequests;
  }

  /** Records how many received bytes are not decoded yet. */
  void recordKept(int bytes) {
    keptBytes = bytes;
  }

  /** Records that the request was passed on. */
  void recordPassedOn() {
    passedOn++;
  }

  /** Records the reply to a request that was passed on. */
  void recordReply() {
    passedOn--;
    bodyBytes = requestPhase == IntakePhase.IDLE && passedOn == 0 ? 0 : bodyBytes;
  }

  /** Records that the connection is closed. */
  public void recordClosed() {
    closed = true;
  }

  /** Returns whether the connection is closed and nothing of it is kept. */
  boolean isGone() {
    return closed && passedOn == 0;
  }

  IntakePhase phase() {
    if (passedOn > 0) {
      return IntakePhase.WAITING;
    }
    return requestPhase == IntakePhase.IDLE && inHead ? IntakePhase.RECEIVING : requestPhase;
  }

  long heldBytes() {
    return COPIES_OF_HEAD * maxHeadBytes + keptBytes + bodyBytes;
  }

  /** A buffer grows to the next power of two. */
  private static long capacityFor(int length) {
    int half = Integer.highestOneBit(length);
    return half == length ? half : 2L * half;
  }
}
