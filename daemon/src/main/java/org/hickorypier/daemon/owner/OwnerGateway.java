package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.net.NetClient;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hickorypier.core.admission.CopyOutcome;
import org.hickorypier.core.admission.RefusalCertainty;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.InFlightWindow;
import org.hickorypier.core.cell.OwnershipDenial;
import org.hickorypier.core.cell.RetryAfter;
import org.hickorypier.daemon.link.Link;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.link.LinkRequestHandler;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.http.TrafficCounter;

/**
 * Forwards requests to the present owner, local or remote, and to its successor if the owner is
 * lost.
 *
 * <p>All requests are idempotent by the submission's id, so a request without a reply is sent
 * again. Invariant: a request ends as refused only if no owner may have accepted it. Confined to
 * the control thread, except for {@link #ownerlessMillis}.
 */
public final class OwnerGateway {

  private static final String PART = "gateway";

  /** An owner answers within some 20 ms; one that stays silent for this long is considered lost. */
  private static final long REPLY_TIMEOUT_MILLIS = 900;

  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /** Size of a request beside the text of a submission. */
  private static final int FRAME_BYTES = 200;

  /** Delay of the first attempt after a link broke: a killed process refuses it immediately. */
  private static final Duration RECONNECT_DELAY = Duration.ofMillis(30);

  /** A link opens within some 10 ms. */
  private static final long LINK_OPEN_TIMEOUT_MILLIS = 300;

  /**
   * How long the link to a replaced owner stays open for its last replies. A replaced owner that
   * runs learns of its successor within some 0.2 s.
   */
  private static final Duration FORMER_LINK_PERIOD = Duration.ofMillis(1_000);

  /** An owner on a slow machine answers within this time. */
  private static final long PROOF_REPLY_TIMEOUT_MILLIS = 500;

  /**
   * The link may be closed if a reply is later than this. A busy owner must not lose a link, on
   * which callers depend, because of a late proof.
   */
  private static final long RELAYED_READ_TIMEOUT_MILLIS = 3_000;

  /** Two consecutive refused connections mean that the owner's process is gone, not just busy. */
  private static final int REFUSALS_BEFORE_TAKEOVER = 2;

  /** The owner is considered lost at this number of consecutive denials of ownership. */
  private static final int DENIALS_BEFORE_TAKEOVER = 2;

  /**
   * Longest time without an owner in which a new request waits for a successor; beyond it, retrying
   * later is better for the caller.
   */
  private static final long MAX_OWNERLESS_WAIT_MILLIS = 1_800;

  /** Retry delay that is suggested for queries: they are cheap, and another instance may answer. */
  private static final long QUERY_RETRY_AFTER_MILLIS = 1_000;

  private static final long NEVER = Long.MAX_VALUE;

  private final NetClient client;
  private final TimerService timers;
  private final EventLog log;
  private final OwnerDirectory directory;
  private final Ownership ownership;
  private final LinkRequestHandler handler;
  private final OrderRelay orderRelay;
  private final Candidate self;
  private final ProcessorSpeedMonitor speedMonitor;
  private final OwnerFailureDetector failureDetector;
  private final Set<PendingRequest> pendingRequests = new LinkedHashSet<>();
  private Link link;
  private OwnerRecord linkedTo = OwnerRecord.NONE;

  /** The version of the protocol that the linked instance has named; 0 if it has not. */
  private int linkedVersion;

  private boolean connecting;
  private int consecutiveRefusals;
  private int denials;
  private final OwnershipDenial denial = new OwnershipDenial();
  private final long burstDelayMillis;
  private final TrafficCounter traffic;
  private final InFlightWindow window;
  private final RecentTries tries = new RecentTries();
  private final long startedAt;
  private long ownerlessSince;

  /** {@link #ownerlessSince} for other threads; {@link #NEVER} while requests reach an owner. */
  private volatile long unreachableSince;

  /** When the owner last answered, or when the first request after an idle period was made. */
  private long repliedAt;

  /** When the owner last accepted a submission or proved its ownership. */
  private long provenAt = Long.MIN_VALUE;

  /**
   * Creates the gateway.
   *
   * @param client opens the links to the owner
   * @param timers the clock and the timers
   * @param log receives the events
   * @param directory knows the present owner
   * @param ownership answers requests if this instance is the owner
   * @param handler answers the owner's requests over the link
   * @param orderRelay sends the owner's start orders to the workers
   * @param self this instance as a candidate for ownership
   * @param speedMonitor tells whether this machine has slowed down
   * @param burstDelayMillis how long a reply may wait behind a burst of work at the owner, in
   *     milliseconds
   * @param traffic counts the bytes on the links
   * @param window bounds the requests without a reply
   */
  public OwnerGateway(
      NetClient client,
      TimerService timers,
      EventLog log,
      OwnerDirectory directory,
      Ownership ownership,
      LinkRequestHandler handler,
      OrderRelay orderRelay,
      Candidate self,
      ProcessorSpeedMonitor speedMonitor,
      long burstDelayMillis,
      TrafficCounter traffic,
      InFlightWindow window) {
    this.client = client;
    this.timers = timers;
    this.log = log;
    this.directory = directory;
    this.ownership = ownership;
    this.handler = handler;
    this.orderRelay = orderRelay;
    this.self = self;
    this.speedMonitor = speedMonitor;
    this.burstDelayMillis = burstDelayMillis;
    this.traffic = traffic;
    this.window = window;
    this.startedAt = timers.nowMillis();
    this.ownerlessSince = startedAt;
    this.unreachableSince = startedAt;
    this.repliedAt = ownerlessSince;
    this.failureDetector =
        new OwnerFailureDetector(
            timers,
            log,
            directory,
            ownership,
            new PendingRequestStatus(),
            this::takeoverDelay,
            burstDelayMillis);
    ownership.onLost(this::ownershipLost);
  }

  /**
   * Restarts the time without an owner when this instance loses ownership.
   *
   * <p>An owner has no link to itself. Without the restart, an instance that loses the cell would
   * count the time without an owner from before its ownership, and would refuse requests that a
   * successor serves a moment later. The only other event that makes an owner unreachable is the
   * end of a link, which restarts the time as well.
   */
  private void ownershipLost() {
    ownerlessSince = timers.nowMillis();
    publishReachability();
  }

  /** Handles that this instance has become the owner. */
  public void ownershipGained() {
    publishReachability();
  }

  private void publishReachability() {
    unreachableSince = isOwnerReachable() ? NEVER : ownerlessSince;
  }

  /**
   * Sends a request to the owner.
   *
   * @param request the request
   * @param timeoutMillis how long the caller waits, in milliseconds
   * @return the reply; {@link LinkReply.NotOwner} if the outcome stays unknown; never fails
   */
  public Future<LinkReply> ask(LinkRequest request, long timeoutMillis) {
    PendingRequest pending = new PendingRequest(request, timers.nowMillis() + timeoutMillis);
    if (request instanceof LinkRequest.Submit) {
      pending.tries = tries.add(pending.id(), pending.copies, timers.nowMillis());
    }
    if (pendingRequests.isEmpty()) {
      repliedAt = timers.nowMillis();
    }
    pendingRequests.add(pending);
    failureDetector.requestAdded();
    pending.deadlineTimer =
        timers.after(Duration.ofMillis(timeoutMillis), () -> giveUp(pending, "deadline"));
    if (unservedMillis() > MAX_OWNERLESS_WAIT_MILLIS) {
      // No owner has served requests for too long, so the caller is answered immediately.
      giveUp(pending, "no owner");
    } else {
      send(pending);
    }
    return pending.promise.future();
  }

  /**
   * Refuses the requests that no owner has written or will write, since this instance ends: their
   * callers would be told that the outcome is unknown.
   */
  public void refuseUnsent() {
    for (PendingRequest pending : List.copyOf(pendingRequests)) {
      if (RefusalCertainty.isNeverWritten(pending.outcomes())) {
        giveUp(pending, "this instance ends");
      }
    }
  }

  /** View of the pending requests for the failure detector. */
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

  /**
   * Returns whether the linked owner has accepted a submission or proved its ownership since some
   * time.
   *
   * @param time the time by the timers' clock, in milliseconds
   * @return true if there is an owner that need not be replaced
   */
  public boolean hasOwnerBeenProvenSince(long time) {
    return provenAt >= time;
  }

  /** Returns for how long no request could be sent to an owner, in milliseconds. */
  private long unservedMillis() {
    return Math.max(ownerlessMillis(), denial.deniedMillis(timers.nowMillis()));
  }

  private long firstSentAt() {
    return pendingRequests.isEmpty() ? 0 : pendingRequests.iterator().next().sentAt;
  }

  /** Handles a change of the owner: connects to it and sends the pending requests. */
  public void ownerChanged() {
    OwnerRecord owner = directory.owner();
    denials = 0;
    denial.clear();
    if (owner.address().equals(self.address())) {
      announceToFormerOwner(owner);
      leaveLink();
      if (!ownership.isOwner()) {
        // This process was the owner before its restart, and no instance has taken over since.
        ownership.tryTakeOver("this instance was the owner before its restart");
      }
      sendAll();
    } else if (!owner.equals(linkedTo)) {
      leaveLink();
      connect();
    }
  }

  /** Tells the former owner, to which this instance is still linked, that this one is the owner. */
  private void announceToFormerOwner(OwnerRecord owner) {
    if (ownership.isOwner() && link != null && takesRelayedReads()) {
      link.sendRequest(owner.toMessage(), RELAYED_READ_TIMEOUT_MILLIS);
    }
  }

  private boolean takesRelayedReads() {
    return linkedVersion >= LinkRequest.FIRST_VERSION_WITH_RELAYED_READS;
  }

  /**
   * Asks the present owner to prove its ownership.
   *
   * @return true if it does so in time, or if it may do so shortly; never fails
   */
  public Future<Boolean> checkOwnerAlive() {
    if (ownership.isOwner()) {
      return Future.succeededFuture(true);
    }
    if (directory.hasChangedWithin(OwnerFailureDetector.newOwnerGraceMillis(burstDelayMillis))) {
      return Future.succeededFuture(true);
    }
    if (link == null) {
      // A link that is still being opened, as after a start, gets time to open; the next check
      // asks again.
      return Future.succeededFuture(
          directory.owner().epoch() > 0
              && !directory.owner().address().equals(self.address())
              && timers.nowMillis() - ownerlessSince < LINK_OPEN_TIMEOUT_MILLIS);
    }
    Link asked = link;
    long framesBefore = asked.framesReceived();
    return asked
        .sendRequest(
            new LinkRequest.ProveOwnership(), PROOF_REPLY_TIMEOUT_MILLIS + burstDelayMillis)
        .map(this::evaluateProofReply)
        .otherwise(error -> asked.framesReceived() > framesBefore);
  }

  /**
   * Evaluates a reply to a request for proof of ownership.
   *
   * <p>A process that answers but does not own the cell is often the restarted owner that is about
   * to take over again. A second takeover beside it would cost the callers another pause, so such a
   * process is considered alive until the next request.
   */
  private boolean evaluateProofReply(LinkReply reply) {
    if (reply instanceof LinkReply.Noted) {
      denials = 0;
      provenAt = timers.nowMillis();
      return true;
    }
    denials++;
    return denials < DENIALS_BEFORE_TAKEOVER;
  }

  /**
   * Returns whether requests reach an owner.
   *
   * @return false while no owner is known or connected
   */
  public boolean isOwnerReachable() {
    return ownership.isOwner() || link != null;
  }

  /**
   * Returns how long requests have reached no owner; callable from any thread.
   *
   * @return milliseconds; 0 if they reach one
   */
  public long ownerlessMillis() {
    long since = unreachableSince;
    return since == NEVER ? 0 : timers.nowMillis() - since;
  }

  /**
   * Returns how long no owner has answered any request.
   *
   * @return milliseconds; 0 while this instance is the owner, or while the owner is connected and
   *     no request is pending
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
              long openedAt = timers.nowMillis();
              Link opened =
                  new Link(socket, request -> answerOwner(request, openedAt), timers, traffic);
              opened.onClose(() -> handleLinkClosed(opened));
              long age = timers.nowMillis() - startedAt;
              long firstReplyTimeoutMillis = firstReplyTimeoutMillis();
              linkedVersion = 0;
              opened
                  .sendRequest(
                      new LinkRequest.Introduce(self.strength().score(), age, LinkRequest.VERSION),
                      firstReplyTimeoutMillis)
                  .onSuccess(reply -> recordVersion(opened, reply));
              ownership.notifySuccessor(
                  target.epoch(), request -> opened.sendRequest(request, firstReplyTimeoutMillis));
              denial.clear();
              link = opened;
              publishReachability();
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

  /** A new owner replies late, and a link that is opened anew only adds to its work. */
  private long firstReplyTimeoutMillis() {
    return PROOF_REPLY_TIMEOUT_MILLIS + OwnerFailureDetector.newOwnerGraceMillis(burstDelayMillis);
  }

  private void recordVersion(Link introduced, LinkReply reply) {
    if (introduced == link && reply instanceof LinkReply.Number version) {
      linkedVersion = version.number();
    }
  }

  /**
   * Asks the linked owner for the newest configuration.
   *
   * @param request the request
   * @return the reply; fails if there is none in time, or if no owner is linked that takes such
   *     requests
   */
  public Future<LinkReply> askForConfiguration(LinkRequest request) {
    return link == null || !takesRelayedReads()
        ? Future.failedFuture("no owner is linked that takes such requests")
        : link.sendRequest(request, RELAYED_READ_TIMEOUT_MILLIS + burstDelayMillis);
  }

  private Future<LinkReply> answerOwner(LinkRequest request, long linkOpenedAt) {
    return request instanceof LinkRequest.StartRun start
        ? orderRelay.start(start, linkOpenedAt)
        : handler.answer(request);
  }

  private Duration takeoverDelay() {
    boolean weak = directory.owner().strength().isMuchStrongerThan(self.strength());
    return ownership.isStandby()
        ? TakeoverDelay.ofStandby(self.address())
        : TakeoverDelay.of(self.address(), weak, speedMonitor.isSlowed());
  }

  private void requestTakeover(OwnerRecord lostOwner) {
    if (link == null && lostOwner.equals(directory.owner())) {
      ownership.tryTakeOver("the owner refuses connections");
    }
  }

  private void handleLinkClosed(Link closed) {
    if (closed != link) {
      return;
    }
    log.event(
        PART, "owner-link-lost", "epoch", linkedTo.epoch(), "pending", pendingRequests.size());
    link = null;
    linkedTo = OwnerRecord.NONE;
    ownerlessSince = timers.nowMillis();
    publishReachability();
    timers.after(RECONNECT_DELAY, this::connect);
  }

  /**
   * Leaves the link to a replaced owner. Its requests are sent to the successor without waiting,
   * and the link stays open a little longer: without the former owner's last replies it is not
   * known which of the requests it may have accepted, and the successor's refusals would all be
   * uncertain.
   */
  private void leaveLink() {
    if (link != null) {
      Link former = link;
      final boolean regained = linkedTo.address().equals(directory.owner().address());
      link = null;
      linkedTo = OwnerRecord.NONE;
      for (PendingRequest pending : List.copyOf(pendingRequests)) {
        if (pending.stage == Stage.IN_FLIGHT && pending.copies.isLastSentOver(former)) {
          window.release(pending.bytes);
          scheduleResend(pending, RECONNECT_DELAY);
        }
      }
      if (regained) {
        // An owner with two links to this instance would relay orders over the one that ends.
        former.close();
      } else {
        timers.after(FORMER_LINK_PERIOD, former::close);
      }
    }
    ownerlessSince = timers.nowMillis();
    publishReachability();
  }

  /** Sends all requests that have no reply to the present owner, oldest first. */
  private void sendAll() {
    pendingRequests.forEach(PendingRequest::endRetryDelay);
    sendReady();
  }

  /** Sends the requests that are ready and fit into the window, oldest first. */
  private void sendReady() {
    for (PendingRequest pending : new ArrayList<>(pendingRequests)) {
      send(pending);
    }
  }

  private void send(PendingRequest pending) {
    if (pending.promise.future().isComplete() || pending.stage != Stage.READY) {
      return;
    }
    if (ownership.isOwner()) {
      int copy = pending.startCopy(null, timers.nowMillis());
      ownership
          .answer(pending.withRemainingTime())
          .onSuccess(reply -> handleReply(pending, copy, reply));
    } else if (link != null && !denial.isDenied() && window.tryTake(pending.bytes)) {
      if (pending.request instanceof LinkRequest.Submit submit) {
        orderRelay.keepText(submit.spec());
      }
      int copy = pending.startCopy(link, timers.nowMillis());
      // The failure detector finds a silent link long before this timeout.
      long remainingMillis = Math.max(0, pending.deadline - pending.sentAt);
      link.sendRequest(
              pending.withRemainingTime(),
              remainingMillis + REPLY_TIMEOUT_MILLIS + burstDelayMillis)
          .onComplete(
              reply -> {
                releaseWindow(pending, copy);
                handleReply(pending, copy, reply);
                sendReady();
              },
              error -> {
                releaseWindow(pending, copy);
                handleLost(pending, copy);
              });
    }
  }

  /** Frees the room of a copy in the window, unless its link was left and did so before. */
  private void releaseWindow(PendingRequest pending, int copy) {
    if (pending.isCurrent(copy)) {
      window.release(pending.bytes);
    }
  }

  private void handleLost(PendingRequest pending, int copy) {
    boolean current = pending.isCurrent(copy);
    pending.copies.record(copy, CopyOutcome.LOST);
    if (current && pending.refusal == null) {
      scheduleResend(pending, RECONNECT_DELAY);
    } else {
      evaluateRefusal(pending);
    }
  }

  private void scheduleResend(PendingRequest pending, Duration delay) {
    pending.stage = Stage.RETRY_DELAY;
    timers.after(
        delay,
        () -> {
          pending.endRetryDelay();
          send(pending);
        });
  }

  private void handleReply(PendingRequest pending, int copy, LinkReply reply) {
    boolean current = pending.isCurrent(copy);
    pending.copies.record(copy, outcomeOf(reply));
    if (!current) {
      handleFormerReply(pending, reply);
      return;
    }
    repliedAt = timers.nowMillis();
    if (reply instanceof LinkReply.NotOwner) {
      if (link != null && denial.record(repliedAt)) {
        scheduleProof(link);
      }
      scheduleResend(pending, RETRY_DELAY);
    } else if (reply instanceof LinkReply.Refused refused) {
      pending.stage = Stage.REFUSED;
      pending.refusal = refused;
      evaluateRefusal(pending);
    } else {
      if (reply instanceof LinkReply.Accepted) {
        provenAt = repliedAt;
      }
      finish(pending, reply);
    }
  }

  /** Handles a reply to a copy after which another one was sent. */
  private void handleFormerReply(PendingRequest pending, LinkReply reply) {
    if (reply instanceof LinkReply.Accepted) {
      finish(pending, reply);
    } else {
      evaluateRefusal(pending);
    }
  }

  private static CopyOutcome outcomeOf(LinkReply reply) {
    if (reply instanceof LinkReply.NotOwner denied) {
      return CopyOutcome.denied(denied.writingEpoch());
    }
    // An accepted request ends at once, so that no refusal follows.
    return reply instanceof LinkReply.Refused ? CopyOutcome.refused() : CopyOutcome.LOST;
  }

  /** Answers a request that its owner has refused, unless replies to other copies may decide. */
  private void evaluateRefusal(PendingRequest pending) {
    if (pending.refusal == null || pending.promise.future().isComplete()) {
      return;
    }
    LinkReply.Refused refusal = pending.refusal;
    RefusalCertainty.Verdict verdict =
        RefusalCertainty.ofRefusal(refusal.epoch(), pending.outcomes());
    if (verdict == RefusalCertainty.Verdict.OPEN) {
      return;
    }
    if (pending.outcomes().size() > 1) {
      log.event(
          PART,
          "refusal-of-repeated-request",
          "request",
          pending.id(),
          "verdict",
          verdict,
          "epoch",
          refusal.epoch(),
          "copies",
          pending.outcomes());
    }
    boolean certain = verdict == RefusalCertainty.Verdict.CERTAIN;
    finish(pending, certain ? refusal : new LinkReply.NotOwner());
  }

  /** Asks the linked instance, after a while, whether it owns the cell by now. */
  private void scheduleProof(Link denying) {
    timers.after(
        Duration.ofMillis(denial.nextDelayMillis()),
        () -> {
          if (link == denying && denial.isDenied()) {
            denying
                .sendRequest(new LinkRequest.ProveOwnership(), firstReplyTimeoutMillis())
                .onComplete(reply -> handleProof(denying, reply), error -> scheduleProof(denying));
          }
        });
  }

  private void handleProof(Link denying, LinkReply reply) {
    if (link != denying) {
      return;
    }
    repliedAt = timers.nowMillis();
    if (reply instanceof LinkReply.Noted) {
      provenAt = repliedAt;
      denial.clear();
      sendAll();
    } else {
      scheduleProof(denying);
    }
  }

  private void giveUp(PendingRequest pending, String reason) {
    if (pending.promise.future().isComplete()) {
      return;
    }
    evaluateRefusal(pending);
    if (pending.promise.future().isComplete()) {
      return;
    }
    log.event(
        PART,
        "given-up",
        "request",
        pending.request.getClass().getSimpleName(),
        "id",
        pending.id(),
        "reason",
        reason,
        "sent",
        pending.sendCount,
        "copies",
        pending.outcomes(),
        "ownerless_ms",
        ownerlessMillis());
    finish(
        pending,
        RefusalCertainty.isNeverWritten(pending.outcomes())
            ? new LinkReply.Refused(notSentReason(), retryAfterMillis(pending.request))
            : new LinkReply.NotOwner());
  }

  private String notSentReason() {
    return isOwnerReachable() && !denial.isDenied()
        ? "the owner is behind with earlier requests"
        : "no owner can be reached";
  }

  private static long retryAfterMillis(LinkRequest request) {
    return request instanceof LinkRequest.Submit submit
        ? RetryAfter.delayMillis(submit.spec())
        : QUERY_RETRY_AFTER_MILLIS;
  }

  private void finish(PendingRequest pending, LinkReply reply) {
    pendingRequests.remove(pending);
    pending.deadlineTimer.cancel();
    pending.promise.tryComplete(reply);
  }

  /** The stages of a request without a final reply. */
  private enum Stage {
    /** To be sent once an owner is reachable and the window has room. */
    READY,
    /** Sent, without a reply yet. */
    IN_FLIGHT,
    /** Not answered, or answered by an instance that does not own the cell. */
    RETRY_DELAY,
    /** Refused, while the replies to other copies decide whether that is certain. */
    REFUSED
  }

  /** A request that waits for its reply. */
  private static final class PendingRequest {

    private final LinkRequest request;
    private final long bytes;
    private final long deadline;
    private final Promise<LinkReply> promise = Promise.promise();
    private TimerSubscription deadlineTimer = () -> {};
    private final RequestCopies copies = new RequestCopies();
    private int sendCount;
    private long sentAt;

    /** The copies of recent requests with the same id. */
    private List<RequestCopies> tries = List.of();

    /** The owner's refusal, while it is not certain. */
    private LinkReply.Refused refusal;

    private Stage stage = Stage.READY;

    PendingRequest(LinkRequest request, long deadline) {
      this.request = request;
      this.deadline = deadline;
      this.bytes =
          FRAME_BYTES
              + (request instanceof LinkRequest.Submit submit ? submit.spec().text().length() : 0);
    }

    /** Records that a copy is sent, and returns its number. */
    private int startCopy(Link sentOver, long now) {
      stage = Stage.IN_FLIGHT;
      sendCount++;
      sentAt = now;
      return copies.add(sentOver);
    }

    /** Returns whether a copy is the last one and awaits its reply. */
    private boolean isCurrent(int copy) {
      return stage == Stage.IN_FLIGHT && copies.isLast(copy);
    }

    private LinkRequest withRemainingTime() {
      return request instanceof LinkRequest.Submit submit
          ? new LinkRequest.Submit(submit.spec(), Math.max(1, deadline - sentAt))
          : request;
    }

    /** Returns what became of all copies that were sent under its id. */
    private List<CopyOutcome> outcomes() {
      List<CopyOutcome> all = new ArrayList<>(copies.outcomes());
      for (RequestCopies each : tries) {
        if (each != copies) {
          all.addAll(each.outcomes());
        }
      }
      return all;
    }

    private String id() {
      return request instanceof LinkRequest.Submit submit ? submit.spec().id() : "";
    }

    private void endRetryDelay() {
      if (stage == Stage.RETRY_DELAY) {
        stage = Stage.READY;
      }
    }
  }
}
