package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.net.NetClient;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.hickorypier.core.cell.ComeBack;
import org.hickorypier.core.cell.EventLog;
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
public final class OwnerGateway {

  private static final String PART = "gateway";

  /** An owner answers within some 20 ms; one that does not for this long is taken for lost. */
  private static final long REPLY_TIMEOUT_MILLIS = 900;

  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /** The first attempt after a link broke: a killed process refuses it at once. */
  private static final Duration FIRST_RECONNECT_DELAY = Duration.ofMillis(30);

  /** A link opens within some 10 ms. */
  private static final long LINK_OPEN_TIMEOUT_MILLIS = 300;

  /** An owner on a slow machine answers within this time. */
  private static final long PROOF_REPLY_TIMEOUT_MILLIS = 500;

  /** Two refused connections in a row: the owner's process is gone, not just busy. */
  private static final int REFUSALS_BEFORE_TAKEOVER = 2;

  /** Questions that an instance may answer with no before it is replaced. */
  private static final int DENIALS_BEFORE_TAKEOVER = 2;

  /** Waiting for a successor longer than this is worse for a caller than coming back. */
  private static final long MAX_OWNERLESS_WAIT_MILLIS = 1_800;

  /** For questions; they cost little, and another instance may have an answer. */
  private static final long QUERY_RETRY_AFTER_MILLIS = 1_000;

  private final NetClient client;
  private final TimerService timers;
  private final EventLog log;
  private final OwnerDirectory directory;
  private final Ownership ownership;
  private final LinkHandler handler;
  private final Candidate self;
  private final ProcessorSpeedMonitor speedMonitor;
  private final Set<PendingRequest> pendingRequests = new LinkedHashSet<>();
  private Link link;
  private OwnerRecord linkedTo = OwnerRecord.NONE;
  private boolean connecting;
  private int consecutiveRefusals;
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
  public OwnerGateway(
      NetClient client,
      TimerService timers,
      EventLog log,
      OwnerDirectory directory,
      Ownership ownership,
      LinkHandler handler,
      Candidate self,
      ProcessorSpeedMonitor pace) {
    this.client = client;
    this.timers = timers;
    this.log = log;
    this.directory = directory;
    this.ownership = ownership;
    this.handler = handler;
    this.self = self;
    this.speedMonitor = pace;
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
    PendingRequest next = new PendingRequest(request, timers.nowMillis() + timeoutMillis);
    if (pendingRequests.isEmpty()) {
      repliedAt = timers.nowMillis();
    }
    pendingRequests.add(next);
    next.deadlineTimer =
        timers.after(Duration.ofMillis(timeoutMillis), () -> giveUp(next, "deadline"));
    if (!isOwnerReachable() && timers.nowMillis() - ownerlessSince > MAX_OWNERLESS_WAIT_MILLIS) {
      // It is known that nobody can take it: the caller learns so at once.
      giveUp(next, "no owner");
    } else {
      send(next);
    }
    return next.promise.future();
  }

  /** Begins to watch over the owner. */
  public void start() {
    new OwnerFailureDetector(
            timers, log, directory, ownership, new PendingRequestStatus(), this::takeoverDelay)
        .start();
  }

  /** What the watch over the owner looks at. */
  private final class PendingRequestStatus implements OwnerFailureDetector.Requests {

    @Override
    public int pendingCount() {
      return pendingRequests.size();
    }

    @Override
    public long silentMillis() {
      return timers.nowMillis() - Math.max(repliedAt, firstSentAt());
    }

    @Override
    public Link link() {
      return link;
    }

    @Override
    public OwnerRecord linkedOwner() {
      return linkedTo;
    }

    @Override
    public long repliedAt() {
      return repliedAt;
    }

    @Override
    public void ownerResponded() {
      repliedAt = timers.nowMillis();
    }
  }

  private long firstSentAt() {
    return pendingRequests.isEmpty() ? 0 : pendingRequests.iterator().next().sentAt;
  }

  /** Takes notice of a new owner. */
  public void ownerChanged() {
    OwnerRecord present = directory.owner();
    denials = 0;
    if (present.address().equals(self.address())) {
      closeLink();
      if (!ownership.isOwner()) {
        // This process was the owner before its restart; nobody has taken over since.
        ownership.tryTakeOver("this instance was the owner in an earlier life");
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
  public Future<Boolean> checkOwnerAlive() {
    if (ownership.isOwner()) {
      return Future.succeededFuture(true);
    }
    if (link == null) {
      // A link that is only being opened, as after a start, is waited for; the next sign asks
      // again.
      return Future.succeededFuture(
          directory.owner().epoch() > 0
              && !directory.owner().address().equals(self.address())
              && timers.nowMillis() - ownerlessSince < LINK_OPEN_TIMEOUT_MILLIS);
    }
    return link.ask(new LinkRequest.ProveOwnership(), PROOF_REPLY_TIMEOUT_MILLIS)
        .map(this::evaluateProofReply)
        .otherwise(false);
  }

  /**
   * A process that answers but does not own the cell is often the owner after its restart, just
   * about to take over again; a second takeover beside it would cost the callers another pause. So
   * it has until the next question.
   */
  private boolean evaluateProofReply(LinkReply reply) {
    if (reply instanceof LinkReply.Noted) {
      denials = 0;
      return true;
    }
    denials++;
    return denials < DENIALS_BEFORE_TAKEOVER;
  }

  /**
   * Tells whether requests reach an owner.
   *
   * @return false while none is known or connected
   */
  public boolean isOwnerReachable() {
    return ownership.isOwner() || link != null;
  }

  /**
   * Returns for how long requests have reached no owner.
   *
   * @return milliseconds, 0 if they do
   */
  public long ownerlessMillis() {
    return isOwnerReachable() ? 0 : timers.nowMillis() - ownerlessSince;
  }

  /**
   * Returns for how long no owner has answered anything.
   *
   * @return milliseconds; 0 while an owner answers or nobody asks one
   */
  public long silentMillis() {
    if (ownership.isOwner() || pendingRequests.isEmpty() && link != null) {
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
              opened.onClose(() -> handleLinkClosed(opened));
              long age = timers.nowMillis() - startedAt;
              opened.ask(
                  new LinkRequest.Introduce(self.strength().score(), age),
                  PROOF_REPLY_TIMEOUT_MILLIS);
              ownership.notifySuccessor(
                  target.epoch(), request -> opened.ask(request, PROOF_REPLY_TIMEOUT_MILLIS));
              link = opened;
              consecutiveRefusals = 0;
              linkedTo = target;
              log.event(
                  PART,
                  "owner-linked",
                  "epoch",
                  target.epoch(),
                  "address",
                  target.address(),
                  "pending",
                  pendingRequests.size());
              sendAll();
            },
            error -> {
              connecting = false;
              consecutiveRefusals = error instanceof ConnectException ? consecutiveRefusals + 1 : 0;
              if (consecutiveRefusals >= REFUSALS_BEFORE_TAKEOVER
                  && target.equals(directory.owner())) {
                consecutiveRefusals = 0;
                timers.after(takeoverDelay(), () -> requestTakeover(target));
              }
              timers.after(RETRY_DELAY, this::connect);
            });
  }

  private Duration takeoverDelay() {
    boolean weak = directory.owner().strength().isMuchStrongerThan(self.strength());
    return TakeoverDelay.of(self.address(), weak, speedMonitor.isSlowed());
  }

  private void requestTakeover(OwnerRecord dead) {
    if (link == null && dead.equals(directory.owner())) {
      ownership.tryTakeOver("the owner refuses connections");
    }
  }

  private void handleLinkClosed(Link which) {
    if (which != link) {
      return;
    }
    log.event(
        PART, "owner-link-lost", "epoch", linkedTo.epoch(), "pending", pendingRequests.size());
    link = null;
    linkedTo = OwnerRecord.NONE;
    ownerlessSince = timers.nowMillis();
    timers.after(FIRST_RECONNECT_DELAY, this::connect);
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
    for (PendingRequest next : new ArrayList<>(pendingRequests)) {
      send(next);
    }
  }

  private void send(PendingRequest next) {
    if (next.promise.future().isComplete()) {
      return;
    }
    if (ownership.isOwner()) {
      next.sendCount++;
      ownership.answer(next.request).onSuccess(reply -> handleReply(next, reply));
    } else if (link != null) {
      next.sendCount++;
      next.sentAt = timers.nowMillis();
      long left = Math.max(1, next.deadline - timers.nowMillis());
      link.ask(next.request, Math.min(left + REPLY_TIMEOUT_MILLIS, REPLY_TIMEOUT_MILLIS))
          .onComplete(reply -> handleReply(next, reply), error -> scheduleResend(next));
    }
  }

  private void scheduleResend(PendingRequest next) {
    timers.after(RETRY_DELAY, () -> send(next));
  }

  private void handleReply(PendingRequest next, LinkReply reply) {
    repliedAt = timers.nowMillis();
    if (reply instanceof LinkReply.NotOwner) {
      scheduleResend(next);
      return;
    }
    boolean uncertain = reply instanceof LinkReply.Refused && next.sendCount > 1;
    finish(next, uncertain ? new LinkReply.NotOwner() : reply);
  }

  private void giveUp(PendingRequest next, String reason) {
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
        next.sendCount,
        "ownerless_ms",
        ownerlessMillis());
    finish(
        next,
        next.sendCount == 0
            ? new LinkReply.Refused("no owner can be reached", retryAfterMillis(next.request))
            : new LinkReply.NotOwner());
  }

  private static long retryAfterMillis(LinkRequest request) {
    return request instanceof LinkRequest.Submit submit
        ? ComeBack.afterMillis(submit.spec())
        : QUERY_RETRY_AFTER_MILLIS;
  }

  private void finish(PendingRequest next, LinkReply reply) {
    pendingRequests.remove(next);
    next.deadlineTimer.cancel();
    next.promise.tryComplete(reply);
  }

  /** A request that waits for its reply. */
  private static final class PendingRequest {

    private final LinkRequest request;
    private final long deadline;
    private final Promise<LinkReply> promise = Promise.promise();
    private TimerSubscription deadlineTimer = () -> {};
    private int sendCount;
    private long sentAt;

    PendingRequest(LinkRequest request, long deadline) {
      this.request = request;
      this.deadline = deadline;
    }
  }
}
