package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.net.NetClient;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.RetryAfter;
import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkHandler;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * Brings requests to the present owner, wherever it is, and to its successor if it is lost.
 *
 * <p>All requests are idempotent by the submission's id, so one without a reply is asked again.
 * Invariant: a request ends as refused only if no owner may have taken it. Belongs to the control
 * thread.
 */
public final class Gateway {

  private static final String PART = "gateway";

  /** An owner answers within some 20 ms; one that does not for this long is taken for lost. */
  private static final long REPLY_MILLIS = 900;

  private static final Duration RECONNECT = Duration.ofMillis(150);

  /** The first attempt after a link broke: a killed process refuses it at once. */
  private static final Duration RECONNECT_FIRST = Duration.ofMillis(30);

  /** A link opens within some 10 ms. */
  private static final long LINKING_MILLIS = 300;

  /** An owner on a slow machine answers within this time. */
  private static final long PROOF_REPLY_MILLIS = 500;

  /** Two refused connections in a row: the owner's process is gone, not just busy. */
  private static final int REFUSALS_TO_STEP_IN = 2;

  /** Questions that an instance may answer with no before it is replaced. */
  private static final int DENIALS_TO_TAKE_OVER = 2;

  /** Waiting for a successor longer than this is worse for a caller than coming back. */
  private static final long OWNERLESS_MILLIS = 1_800;

  /** For questions; they cost little, and another instance may have an answer. */
  private static final long ASK_AGAIN_MILLIS = 1_000;

  private final NetClient client;
  private final TimerService timers;
  private final EventLog log;
  private final Directory directory;
  private final Ownership ownership;
  private final LinkHandler handler;
  private final Candidate self;
  private final WorkPace pace;
  private final Set<Pending> pending = new LinkedHashSet<>();
  private Link link;
  private OwnerRecord linkedTo = OwnerRecord.NONE;
  private boolean connecting;
  private int refusals;
  private int denials;
  private final long startedAt;
  private long ownerlessSince;

  /** When the owner last answered, or when something was first asked of it after a rest. */
  private long repliedAt;

  /**
   * Creates the gateway.
   *
   * @param client opens links
   * @param timers the timers
   * @param log takes the events
   * @param directory knows the owner
   * @param ownership answers if this instance is the owner
   * @param handler answers what the owner asks over the link
   * @param self this instance
   * @param pace how quick its machine is
   */
  public Gateway(
      NetClient client,
      TimerService timers,
      EventLog log,
      Directory directory,
      Ownership ownership,
      LinkHandler handler,
      Candidate self,
      WorkPace pace) {
    this.client = client;
    this.timers = timers;
    this.log = log;
    this.directory = directory;
    this.ownership = ownership;
    this.handler = handler;
    this.self = self;
    this.pace = pace;
    this.startedAt = timers.nowMillis();
    this.ownerlessSince = startedAt;
    this.repliedAt = ownerlessSince;
    ownership.onLost(this::ownershipLost);
  }

  /**
   * Failure: this instance was the owner, which has no link to itself. Symptom: with the cell it
   * lost all sense of time, took itself to be without an owner since before its ownership, and
   * refused requests that a successor would have served a moment later. Safeguard: the time without
   * an owner counts from the loss; that is enough since nothing else makes an owner unreachable but
   * a link, which counts from its own end.
   */
  private void ownershipLost() {
    ownerlessSince = timers.nowMillis();
  }

  /**
   * Asks the owner.
   *
   * @param request the request
   * @param timeoutMillis how long the caller waits, in milliseconds
   * @return the reply; {@link LinkReply.NotOwner} if its outcome is unknown in the end
   */
  public Future<LinkReply> ask(LinkRequest request, long timeoutMillis) {
    Pending next = new Pending(request, timers.nowMillis() + timeoutMillis);
    if (pending.isEmpty()) {
      repliedAt = timers.nowMillis();
    }
    pending.add(next);
    next.timer = timers.after(Duration.ofMillis(timeoutMillis), () -> giveUp(next, "deadline"));
    if (!reachable() && timers.nowMillis() - ownerlessSince > OWNERLESS_MILLIS) {
      // It is known that nobody can take it: the caller learns so at once.
      giveUp(next, "no owner");
    } else {
      send(next);
    }
    return next.promise.future();
  }

  /** Begins to watch over the owner. */
  public void start() {
    new OwnerFailureDetector(timers, log, directory, ownership, new Waiting(), this::stepInDelay)
        .start();
  }

  /** What the watch over the owner looks at. */
  private final class Waiting implements OwnerFailureDetector.Requests {

    @Override
    public int waiting() {
      return pending.size();
    }

    @Override
    public long quietMillis() {
      return timers.nowMillis() - Math.max(repliedAt, firstSentAt());
    }

    @Override
    public Link link() {
      return link;
    }

    @Override
    public OwnerRecord linkedTo() {
      return linkedTo;
    }

    @Override
    public long repliedAt() {
      return repliedAt;
    }

    @Override
    public void alive() {
      repliedAt = timers.nowMillis();
    }
  }

  private long firstSentAt() {
    return pending.isEmpty() ? 0 : pending.iterator().next().sentAt;
  }

  /** Takes notice of a new owner. */
  public void ownerChanged() {
    OwnerRecord present = directory.owner();
    denials = 0;
    if (present.address().equals(self.address())) {
      closeLink();
      if (!ownership.owns()) {
        // This process was the owner before its restart; nobody has taken over since.
        ownership.stepIn("this instance was the owner in an earlier life");
      }
      sendAll();
    } else if (!present.equals(linkedTo)) {
      closeLink();
      connect();
    }
  }

  /**
   * Asks the present owner to prove itself.
   *
   * @return true if it does so in time
   */
  public Future<Boolean> ownerAlive() {
    if (ownership.owns()) {
      return Future.succeededFuture(true);
    }
    if (link == null) {
      // A link that is only being opened, as after a start, is waited for; the next sign asks
      // again.
      return Future.succeededFuture(
          directory.owner().epoch() > 0
              && !directory.owner().address().equals(self.address())
              && timers.nowMillis() - ownerlessSince < LINKING_MILLIS);
    }
    return link.ask(new LinkRequest.ProveOwnership(), PROOF_REPLY_MILLIS)
        .map(this::provesOrMaySoon)
        .otherwise(false);
  }

  /**
   * A process that answers but does not own the cell is often the owner after its restart, just
   * about to take over again; a second takeover beside it would cost the callers another pause. So
   * it has until the next question.
   */
  private boolean provesOrMaySoon(LinkReply reply) {
    if (reply instanceof LinkReply.Noted) {
      denials = 0;
      return true;
    }
    denials++;
    return denials < DENIALS_TO_TAKE_OVER;
  }

  /**
   * Tells whether requests reach an owner.
   *
   * @return false while none is known or connected
   */
  public boolean reachable() {
    return ownership.owns() || link != null;
  }

  /**
   * Returns for how long requests have reached no owner.
   *
   * @return milliseconds, 0 if they do
   */
  public long ownerlessMillis() {
    return reachable() ? 0 : timers.nowMillis() - ownerlessSince;
  }

  /**
   * Returns for how long no owner has answered anything.
   *
   * @return milliseconds; 0 while an owner answers or nobody asks one
   */
  public long silentMillis() {
    if (ownership.owns() || pending.isEmpty() && link != null) {
      return 0;
    }
    return timers.nowMillis() - (link == null ? Math.max(repliedAt, ownerlessSince) : repliedAt);
  }

  private void connect() {
    OwnerRecord target = directory.owner();
    if (connecting || target.epoch() == 0 || target.address().equals(self.address())) {
      return;
    }
    connecting = true;
    ServiceAddress address = ServiceAddress.parse(target.address());
    client
        .connect(address.port(), address.host())
        .onComplete(
            socket -> {
              connecting = false;
              if (!target.equals(directory.owner())) {
                socket.close();
                connect();
                return;
              }
              Link opened = new Link(socket, handler, timers);
              opened.onClose(() -> broken(opened));
              long age = timers.nowMillis() - startedAt;
              opened.ask(
                  new LinkRequest.Introduce(self.strength().score(), age), PROOF_REPLY_MILLIS);
              ownership.tellSuccessor(
                  target.epoch(), request -> opened.ask(request, PROOF_REPLY_MILLIS));
              link = opened;
              refusals = 0;
              linkedTo = target;
              log.event(
                  PART,
                  "owner-linked",
                  "epoch",
                  target.epoch(),
                  "address",
                  target.address(),
                  "pending",
                  pending.size());
              sendAll();
            },
            error -> {
              connecting = false;
              refusals = error instanceof ConnectException ? refusals + 1 : 0;
              if (refusals >= REFUSALS_TO_STEP_IN && target.equals(directory.owner())) {
                refusals = 0;
                timers.after(stepInDelay(), () -> stepIn(target));
              }
              timers.after(RECONNECT, this::connect);
            });
  }

  private Duration stepInDelay() {
    boolean weak = directory.owner().strength().farAbove(self.strength());
    return StepInDelay.of(self.address(), weak, pace.slowed());
  }

  private void stepIn(OwnerRecord dead) {
    if (link == null && dead.equals(directory.owner())) {
      ownership.stepIn("the owner refuses connections");
    }
  }

  private void broken(Link which) {
    if (which != link) {
      return;
    }
    log.event(PART, "owner-link-lost", "epoch", linkedTo.epoch(), "pending", pending.size());
    link = null;
    linkedTo = OwnerRecord.NONE;
    ownerlessSince = timers.nowMillis();
    timers.after(RECONNECT_FIRST, this::connect);
  }

  private void closeLink() {
    if (link != null) {
      Link old = link;
      link = null;
      linkedTo = OwnerRecord.NONE;
      old.close();
    }
    ownerlessSince = timers.nowMillis();
  }

  private void sendAll() {
    for (Pending next : new ArrayList<>(pending)) {
      send(next);
    }
  }

  private void send(Pending next) {
    if (next.promise.future().isComplete()) {
      return;
    }
    if (ownership.owns()) {
      next.sent++;
      ownership.answer(next.request).onSuccess(reply -> replied(next, reply));
    } else if (link != null) {
      next.sent++;
      next.sentAt = timers.nowMillis();
      long left = Math.max(1, next.deadline - timers.nowMillis());
      link.ask(next.request, Math.min(left + REPLY_MILLIS, REPLY_MILLIS))
          .onComplete(reply -> replied(next, reply), error -> unanswered(next));
    }
  }

  private void unanswered(Pending next) {
    timers.after(RECONNECT, () -> send(next));
  }

  private void replied(Pending next, LinkReply reply) {
    repliedAt = timers.nowMillis();
    if (reply instanceof LinkReply.NotOwner) {
      unanswered(next);
      return;
    }
    boolean uncertain = reply instanceof LinkReply.Refused && next.sent > 1;
    finish(next, uncertain ? new LinkReply.NotOwner() : reply);
  }

  private void giveUp(Pending next, String reason) {
    if (next.promise.future().isComplete()) {
      return;
    }
    log.event(
        PART,
        "given-up",
        "request",
        next.request.getClass().getSimpleName(),
        "reason",
        reason,
        "sent",
        next.sent,
        "ownerless_ms",
        ownerlessMillis());
    finish(
        next,
        next.sent == 0
            ? new LinkReply.Refused("no owner can be reached", comeBackMillis(next.request))
            : new LinkReply.NotOwner());
  }

  private static long comeBackMillis(LinkRequest request) {
    return request instanceof LinkRequest.Submit submit
        ? RetryAfter.delayMillis(submit.spec())
        : ASK_AGAIN_MILLIS;
  }

  private void finish(Pending next, LinkReply reply) {
    pending.remove(next);
    next.timer.cancel();
    next.promise.tryComplete(reply);
  }

  /** A request that waits for its reply. */
  private static final class Pending {

    private final LinkRequest request;
    private final long deadline;
    private final Promise<LinkReply> promise = Promise.promise();
    private TimerSubscription timer = () -> {};
    private int sent;
    private long sentAt;

    Pending(LinkRequest request, long deadline) {
      this.request = request;
      this.deadline = deadline;
    }
  }
}
