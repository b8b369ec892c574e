package org.hickorypier.daemon.link;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.daemon.time.TimerService;

/**
 * The requests of one link that have no reply yet.
 *
 * <p>Invariants: every request ends with a reply or with a {@link LinkException}; when a request
 * times out, the link counts as silent if nothing at all has arrived on it since the request was
 * sent, or no reply for a longer time. Any frame shows that the other side runs, so a reply that is
 * late behind other work there costs one request and not the connection, with all that waits on it;
 * but only replies show that requests reach the other side. Confined to the control thread.
 */
final class PendingReplies {

  /** Exceeds the delays of an owner that has just taken over on a slow processor. */
  static final long MAX_MILLIS_WITHOUT_REPLY = 3_000;

  private static final long ALL_ANSWERED = Long.MAX_VALUE;

  private final TimerService timers;
  private final Runnable onSilent;
  private final Map<Long, Promise<LinkReply>> promises = new HashMap<>();
  private long lastRequestNumber;
  private long framesReceived;

  /** When the first request was sent after the last reply. */
  private long unansweredSince = ALL_ANSWERED;

  /**
   * Creates an empty table.
   *
   * @param timers the timers for reply timeouts
   * @param onSilent runs when the link counts as silent
   */
  PendingReplies(TimerService timers, Runnable onSilent) {
    this.timers = timers;
    this.onSilent = onSilent;
  }

  /** A request that was registered. */
  record Registration(long requestNumber, Future<LinkReply> reply) {}

  /**
   * Registers a request that is about to be sent.
   *
   * @param timeoutMillis the time limit for the reply, in milliseconds
   */
  Registration register(long timeoutMillis) {
    long requestNumber = ++lastRequestNumber;
    long framesBefore = framesReceived;
    unansweredSince = Math.min(unansweredSince, timers.nowMillis());
    Promise<LinkReply> promise = Promise.promise();
    promises.put(requestNumber, promise);
    var timer =
        timers.after(
            Duration.ofMillis(timeoutMillis),
            () -> {
              boolean late = promise.tryFail(new LinkException("no reply before the timeout"));
              if (late && (framesReceived == framesBefore || hasNoReplyForLong())) {
                onSilent.run();
              }
            });
    Future<LinkReply> reply =
        promise
            .future()
            .onComplete(
                done -> {
                  timer.cancel();
                  promises.remove(requestNumber);
                });
    return new Registration(requestNumber, reply);
  }

  private boolean hasNoReplyForLong() {
    return unansweredSince != ALL_ANSWERED
        && timers.nowMillis() - unansweredSince >= MAX_MILLIS_WITHOUT_REPLY;
  }

  /** Records that a frame has arrived on the link, a request or a reply. */
  void recordFrame() {
    framesReceived++;
  }

  /** Returns the number of frames that have arrived. */
  long framesReceived() {
    return framesReceived;
  }

  /** Ends a request with its reply; a reply to a request that has timed out is ignored. */
  void complete(long requestNumber, LinkReply reply) {
    unansweredSince = ALL_ANSWERED;
    Promise<LinkReply> promise = promises.get(requestNumber);
    if (promise != null) {
      promise.tryComplete(reply);
    }
  }

  /** Fails all requests, since the link is closed. */
  void failAll() {
    for (Promise<LinkReply> promise : List.copyOf(promises.values())) {
      promise.tryFail(new LinkException("the link was closed before the reply arrived"));
    }
  }
}
