package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.cell.StartAnswer;
import org.hickorypier.core.membership.RendezvousHash;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;
import org.hickorypier.platform.execution.StartOrder;

/**
 * Routes the owner's start orders through other instances, so that the text of a submission crosses
 * the owner's link once at most.
 *
 * <p>All orders of a submission go through one relay: the instance that forwarded the submission,
 * which has its text, or, if that one is gone, the one that the submission's id selects, which gets
 * the text with the first order. Invariant: an order whose relay has not answered counts as
 * possibly carried out. Confined to the control thread.
 */
public final class OrderRouter {

  /** A relay answers an order after the worker's answer, some 3 ms, or after its timeout. */
  private static final long ANSWER_TIMEOUT_MILLIS = 450;

  /** An answer may wait behind a burst of work at the relay, and then at the owner. */
  private static final int BURSTS_ON_THE_WAY = 2;

  /**
   * The link may be closed if a reply is later than this. A busy relay must not lose its link, on
   * which its callers depend, because of a late order.
   */
  private static final long LINK_TIMEOUT_MILLIS = 3_000;

  private final TimerService timers;
  private final Duration answerTimeout;
  private final List<Relay> relays = new ArrayList<>();
  private final Map<String, Relay> relayBySubmission = new HashMap<>();

  /**
   * Creates a router without relays.
   *
   * @param burstDelayMillis how long a message may wait behind a burst of work, in milliseconds
   */
  OrderRouter(TimerService timers, long burstDelayMillis) {
    this.timers = timers;
    this.answerTimeout =
        Duration.ofMillis(ANSWER_TIMEOUT_MILLIS + BURSTS_ON_THE_WAY * burstDelayMillis);
  }

  /** Sends requests to another instance. */
  @FunctionalInterface
  public interface Sender {

    /**
     * Sends a request.
     *
     * @param request the request
     * @param timeoutMillis the time limit of the reply, in milliseconds
     * @return the reply; the future fails if the link is closed or the reply is late
     */
    Future<LinkReply> send(LinkRequest request, long timeoutMillis);
  }

  /** An instance that relays orders. */
  static final class Relay {

    private final String address;
    private final Sender sender;

    /** Whether the last order had no answer in time. */
    private boolean silent;

    private Relay(String address, Sender sender) {
      this.address = address;
      this.sender = sender;
    }
  }

  /** Adds a relay. */
  Relay add(String address, Sender sender) {
    Relay relay = new Relay(address, sender);
    relays.add(relay);
    return relay;
  }

  /** Removes a relay whose link is closed. Its submissions get another one. */
  void remove(Relay relay) {
    relays.remove(relay);
    relayBySubmission.values().removeIf(assigned -> assigned == relay);
  }

  /** Records that a relay has the text of a submission. */
  void recordText(String submission, Relay relay) {
    if (relays.contains(relay)) {
      relayBySubmission.put(submission, relay);
    }
  }

  /** Forgets which relay has the text of a submission. */
  void forget(String submission) {
    relayBySubmission.remove(submission);
  }

  /** Forgets which relays have the texts of submissions. */
  void forgetAll() {
    relayBySubmission.clear();
  }

  /**
   * Sends an order through a relay.
   *
   * @return the answer, or empty if no relay has sent the order; the future never fails
   */
  Future<Optional<StartAnswer>> start(StartOrder order) {
    String submission = order.run().task().submission();
    Relay known = relayBySubmission.get(submission);
    Relay relay = known != null && !known.silent ? known : select(submission);
    if (relay == null) {
      return Future.succeededFuture(Optional.empty());
    }
    relayBySubmission.put(submission, relay);
    boolean textIncluded = relay != known;
    Promise<Optional<StartAnswer>> result = Promise.promise();
    TimerSubscription timer =
        timers.after(
            answerTimeout,
            () -> {
              relay.silent = true;
              result.tryComplete(Optional.of(StartAnswer.MISSING));
            });
    relay
        .sender
        .send(
            new LinkRequest.StartRun(textIncluded ? order : order.withText(""), textIncluded),
            LINK_TIMEOUT_MILLIS)
        .onComplete(
            reply -> {
              relay.silent = false;
              result.tryComplete(answer(submission, relay, reply));
            },
            error -> result.tryComplete(Optional.of(StartAnswer.MISSING)));
    return result.future().onComplete(done -> timer.cancel());
  }

  private Optional<StartAnswer> answer(String submission, Relay relay, LinkReply reply) {
    if (reply instanceof LinkReply.Started started) {
      return Optional.of(started.answer());
    }
    // The relay has not sent the order, for instance because it no longer has the text.
    relayBySubmission.remove(submission, relay);
    return Optional.empty();
  }

  /** Selects a relay that answers, by the submission's id, so that the submissions are spread. */
  private Relay select(String submission) {
    Map<String, Relay> answering = new HashMap<>();
    for (Relay relay : relays) {
      if (!relay.silent) {
        answering.put(relay.address, relay);
      }
    }
    return RendezvousHash.preferred(answering.keySet(), submission)
        .map(answering::get)
        .orElse(null);
  }
}
