package org.hickorypier.daemon.peer;

import io.smallrye.mutiny.Uni;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.message.DigestBudget;
import org.hickorypier.wire.message.DigestReader;
import org.hickorypier.wire.message.Frame;
import org.hickorypier.wire.message.FrameException;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Answer;
import org.hickorypier.wire.message.PeerMessage.ConfigurationPush;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.PeerMessage.DigestChange;
import org.hickorypier.wire.message.PeerMessage.Failure;
import org.hickorypier.wire.message.PeerMessage.Heartbeat;
import org.hickorypier.wire.message.PeerMessage.OpenRequests;
import org.hickorypier.wire.message.PeerMessage.Part;
import org.hickorypier.wire.message.PeerMessage.Request;
import org.hickorypier.wire.message.PeerMessage.Settled;

/**
 * All that is known of one peer, over however many connections: open requests, remembered answers,
 * signs of life.
 *
 * <p>Failure it is for: a connection goes silent for good while new ones work. The caller would
 * wait until its deadline, or a repetition would run the work twice. Here the silent connection is
 * closed, open requests go out again on the next one under the same correlation, and the peer
 * answers from memory what it has acted on already. That is enough because an incarnation uses a
 * correlation once, whatever peer it is for, and a new incarnation starts with an empty memory.
 *
 * <p>Not thread safe: it belongs to the control thread. It has no sockets; see {@link
 * LinkConnection}.
 */
final class PeerLink {

  private static final Logger LOGGER = System.getLogger(PeerLink.class.getName());

  private final PeerSettings settings;
  private final TimerService timers;
  private final PeerCounters counters;
  private final LinkOwner owner;
  private final MessagePackCodec<PeerMessage> codec = new MessagePackCodec<>(PeerMessage.class);
  private final OpenRequestTable open = new OpenRequestTable();
  private final Outbox outbox = new Outbox(codec, this::isWanted);
  private final DigestBudget budget = new DigestBudget();
  private PartAssembler parts = new PartAssembler();
  private DigestReader digests = new DigestReader();
  private AnswerMemory answers = new AnswerMemory();
  private Digest told;
  private PeerIdentity peer;
  private LinkConnection connection;
  private long heardMillis;
  private long sentMillis;
  private long heartbeats;

  /**
   * Creates a link that has no connection yet.
   *
   * @param settings the limits of time
   * @param timers the time
   * @param counters counts what is dropped
   * @param owner hears what happens
   */
  PeerLink(PeerSettings settings, TimerService timers, PeerCounters counters, LinkOwner owner) {
    this.settings = settings;
    this.timers = timers;
    this.counters = counters;
    this.owner = owner;
    this.heardMillis = timers.nowMillis();
  }

  /** Returns who stands at the other end, if the link stands. */
  Optional<PeerIdentity> peer() {
    return connection == null ? Optional.empty() : Optional.of(peer);
  }

  /** Returns whether anything would be lost by forgetting this link. */
  boolean isIdle(long idleMillis) {
    boolean silent = timers.nowMillis() - heardMillis > idleMillis;
    return connection == null && open.isEmpty() && silent;
  }

  /**
   * Takes a new authenticated connection in place of the present one.
   *
   * @return false if the connection was refused and closed
   */
  boolean connected(LinkConnection fresh, PeerIdentity identity) {
    // A process that was paused and replaced under its name wakes up and dials. Were it let in, the
    // two would replace each other for ever; the older one is refused while the newer one lives.
    if (connection != null && identity.incarnation() < peer.incarnation()) {
      counters.dropped("older incarnation");
      LOGGER.log(Level.WARNING, "peer: refused {0}, {1} is linked", identity, peer);
      fresh.close();
      return false;
    }
    disconnect("replaced by a new connection");
    if (peer == null || peer.incarnation() != identity.incarnation()) {
      answers = new AnswerMemory();
    }
    peer = identity;
    connection = fresh;
    heardMillis = timers.nowMillis();
    LOGGER.log(Level.INFO, "peer: {0} is linked", peer);
    final Runnable failures = open.takeWrittenToOthers(peer.incarnation());
    sendOpenRequests();
    owner.up(peer);
    failures.run();
    return true;
  }

  /** Hears that a connection has ended; an older one than the present changes nothing. */
  void disconnected(LinkConnection ended) {
    if (connection == ended) {
      disconnect("connection ended");
    }
  }

  /** Takes in a message from a connection; a replaced one is not listened to. */
  void received(LinkConnection from, PeerMessage message) {
    if (connection != from) {
      counters.dropped("replaced connection");
      return;
    }
    heardMillis = timers.nowMillis();
    try {
      if (message instanceof Part part) {
        Optional<byte[]> whole = parts.add(part);
        if (whole.isPresent()) {
          take(codec.decode(whole.get()));
        }
      } else {
        take(message);
      }
    } catch (FrameException | UndecodableException error) {
      counters.dropped("undecodable");
      disconnect(error.getMessage());
    }
  }

  /**
   * Sends a request, now and again on every new connection until it is answered.
   *
   * @param request the request, without a correlation
   * @param deadlineMillis when it fails at the latest
   * @param receiver hears the end of it
   * @return the request as it was sent, or empty if it has failed at once
   */
  Optional<Request> request(Request request, long deadlineMillis, AnswerReceiver receiver) {
    byte[] encoded = codec.encode(request);
    Optional<String> refusal = refusal(encoded.length);
    if (refusal.isPresent()) {
      receiver.failed(new PeerException(refusal.get(), false));
      return Optional.empty();
    }
    Request numbered = request.withCorrelation(owner.nextCorrelation());
    open.add(numbered, deadlineMillis, receiver);
    send(numbered);
    return Optional.of(numbered);
  }

  /** Takes out a request for which nobody waits any longer. */
  void leave(Request request) {
    open.leave(request);
  }

  /** Sends a message that asks for no answer, if the link stands and has room for it. */
  void tell(PeerMessage message) {
    if (connection == null) {
      return;
    }
    if (message instanceof Digest digest) {
      tellDigest(digest);
    } else {
      byte[] encoded = codec.encode(message);
      if (!outbox.hasRoom(encoded.length) || encoded.length > Outbox.MAX_MESSAGE_BYTES) {
        counters.dropped(kind(message));
        return;
      }
      outbox.add(message, encoded);
    }
    pump();
  }

  // With many links a digest is due every few seconds only. A new offset or a drain does not wait
  // for that: an operator is told that a change is in force by the offsets in digests, and work is
  // sent to a draining instance until it says so.
  private void tellDigest(Digest digest) {
    int mostUses = budget.mostUses(timers.nowMillis(), owner.linkCount());
    boolean news =
        told == null
            || told.configurationOffset() != digest.configurationOffset()
            || told.taking() != digest.taking();
    if (mostUses < 0 && !news) {
      return;
    }
    told = digest;
    if (outbox.add(digest, Math.max(0, mostUses))) {
      counters.dropped(kind(digest));
    }
  }

  /** Writes what waits, as far as the connection takes it. */
  void pump() {
    while (connection != null && !connection.isFull()) {
      Optional<Outbox.Frameable> next = outbox.next();
      if (next.isEmpty()) {
        return;
      }
      if (next.get().completes() instanceof Request request) {
        open.written(request, peer.incarnation());
      }
      if (next.get().message() instanceof DigestChange) {
        budget.spent(Frame.OVERHEAD_BYTES + next.get().encoded().length);
      }
      sentMillis = timers.nowMillis();
      connection.write(next.get().message(), next.get().encoded());
    }
  }

  /** Does what falls due with time: deadlines, heartbeats, silence. */
  void tick() {
    long now = timers.nowMillis();
    open.expire(now);
    if (connection == null) {
      return;
    }
    if (now - heardMillis > settings.silence().toMillis()) {
      counters.dropped("silent connection");
      disconnect("silent for " + (now - heardMillis) + " ms");
      return;
    }
    List<Long> settled = open.takeSettled();
    if (!settled.isEmpty()) {
      send(new Settled(settled));
    }
    if (now - sentMillis >= settings.heartbeat().toMillis()) {
      heartbeats++;
      send(new Heartbeat(heartbeats));
    }
  }

  /** Closes the connection and fails what is open, for good. */
  void shutDown() {
    disconnect("shutting down");
    open.failAll("this instance is shutting down");
  }

  /** Closes the connection, if there is one. */
  void disconnect(String why) {
    if (connection == null) {
      return;
    }
    LOGGER.log(Level.INFO, "peer: link to {0} closed: {1}", peer, why);
    final LinkConnection ended = connection;
    connection = null;
    outbox.clear();
    parts = new PartAssembler();
    digests = new DigestReader();
    told = null;
    ended.close();
    owner.down(peer);
  }

  private void take(PeerMessage message) throws FrameException, UndecodableException {
    if (message instanceof Request request) {
      takeRequest(request);
    } else if (message instanceof Answer answer) {
      if (!open.answered(answer)) {
        counters.dropped("late answer");
      }
    } else if (message instanceof Settled settled) {
      answers.settled(settled.correlations());
    } else if (message instanceof OpenRequests still) {
      answers.onlyOpen(still.correlations());
    } else if (message instanceof DigestChange change) {
      owner.message(peer, digests.read(change));
    } else if (message instanceof ConfigurationPush) {
      owner.message(peer, message);
    } else if (!(message instanceof Heartbeat)) {
      throw new FrameException("unexpected " + kind(message));
    }
  }

  private void takeRequest(Request request) throws FrameException {
    long correlation = request.correlation();
    switch (answers.begin(correlation)) {
      case NEW -> act(request);
      case RUNNING -> counters.dropped("repeated request");
      case ANSWERED -> send(answers.answer(correlation).orElseThrow());
      case TOO_MANY -> throw new FrameException("too many open requests");
      default -> throw new IllegalStateException();
    }
  }

  private void act(Request request) {
    AnswerMemory memory = answers;
    long correlation = request.correlation();
    Uni.createFrom()
        .deferred(() -> owner.request(peer, request))
        .subscribe()
        .with(
            answer -> keep(memory, answer.withCorrelation(correlation)),
            error -> keep(memory, failure(correlation, error)));
  }

  // The answer may come long after the connection that brought the request has gone, and after the
  // peer's incarnation has; the memory that took the request in says whether anyone waits for it.
  private void keep(AnswerMemory memory, Answer answer) {
    Answer kept = answer;
    byte[] encoded = codec.encode(kept);
    if (encoded.length > Outbox.MAX_MESSAGE_BYTES || !memory.hasRoom(encoded.length)) {
      counters.dropped("long answer");
      String text = "the answer of " + encoded.length + " bytes is too long to be passed on";
      kept = new Failure(answer.correlation(), true, text);
      encoded = codec.encode(kept);
    }
    if (!memory.keep(kept, encoded.length)) {
      counters.dropped("unwanted answer");
    } else if (memory == answers && connection != null) {
      outbox.add(kept, encoded);
      pump();
    }
  }

  private static Failure failure(long correlation, Throwable error) {
    boolean mayHaveBeenTaken =
        !(error instanceof PeerException refused) || refused.mayHaveBeenTaken();
    return new Failure(correlation, mayHaveBeenTaken, String.valueOf(error.getMessage()));
  }

  private void sendOpenRequests() {
    List<Request> again = open.open();
    send(new OpenRequests(again.stream().map(Request::correlation).toList()));
    again.forEach(this::send);
  }

  private void send(PeerMessage message) {
    outbox.add(message, codec.encode(message));
    pump();
  }

  private Optional<String> refusal(int length) {
    if (connection == null) {
      return Optional.of("no link to the instance");
    }
    if (length > Outbox.MAX_MESSAGE_BYTES) {
      return Optional.of("the request of " + length + " bytes is too long to be passed on");
    }
    if (open.isFull() || !outbox.hasRoom(length)) {
      return Optional.of("too much is waiting for the instance already");
    }
    return Optional.empty();
  }

  private boolean isWanted(PeerMessage message) {
    return !(message instanceof Request request) || open.isOpen(request);
  }

  private static String kind(PeerMessage message) {
    return message.getClass().getSimpleName();
  }
}
