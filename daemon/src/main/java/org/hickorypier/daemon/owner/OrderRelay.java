package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.cell.OwnerTokens;
import org.hickorypier.core.cell.StartAnswer;
import org.hickorypier.core.cell.StartOutcome;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.platform.execution.StartOrder;
import org.hickorypier.platform.execution.WorkerClient;

/**
 * Sends start orders to the workers on behalf of the owner, under the owner's fencing token.
 *
 * <p>Invariants: an order is sent when it is read from the link, or never; no order is sent that
 * may have waited while this process was suspended, since its worker may have restarted meanwhile,
 * with a clock on which the order's deadline is in the future. Confined to the control thread.
 */
public final class OrderRelay {

  private static final String PART = "relay";

  /** Bound of the texts that are kept, in characters; the texts that were used last remain. */
  private static final int MAX_TEXT_CHARACTERS = 1 << 20;

  /**
   * The least time in which a worker answers, often over a new connection. The owner considers an
   * order whose outcome is not known a little later as unanswered.
   */
  private static final long MIN_WORKER_TIMEOUT_MILLIS = 300;

  private final WorkerClient workers;
  private final SuspensionDetector suspensionDetector;
  private final EventLog log;
  private final IntSupplier newestEpoch;
  private final long workerTimeoutMillis;
  private final Map<String, String> textBySubmission = new LinkedHashMap<>(16, 0.75f, true);
  private int textCharacters;

  /**
   * Creates the relay.
   *
   * @param workers the client for the workers
   * @param suspensionDetector detects suspensions of the process
   * @param log receives the events
   * @param newestEpoch returns the epoch of the newest owner that this instance knows
   * @param burstDelayMillis how long an answer may wait behind a burst of work on this machine, in
   *     milliseconds
   */
  public OrderRelay(
      WorkerClient workers,
      SuspensionDetector suspensionDetector,
      EventLog log,
      IntSupplier newestEpoch,
      long burstDelayMillis) {
    this.workers = workers;
    this.suspensionDetector = suspensionDetector;
    this.log = log;
    this.newestEpoch = newestEpoch;
    this.workerTimeoutMillis = MIN_WORKER_TIMEOUT_MILLIS + burstDelayMillis;
  }

  /**
   * Keeps the text of a submission that this instance forwards to the owner.
   *
   * @param spec the submission
   */
  public void keepText(SubmissionSpec spec) {
    keepText(spec.id(), spec.text());
  }

  private void keepText(String submission, String text) {
    String previous = textBySubmission.put(submission, text);
    textCharacters += text.length() - (previous == null ? 0 : previous.length());
    var oldest = textBySubmission.values().iterator();
    while (textCharacters > MAX_TEXT_CHARACTERS) {
      textCharacters -= oldest.next().length();
      oldest.remove();
    }
  }

  /**
   * Sends an order to its worker.
   *
   * @param request the order
   * @param linkOpenedAt when the link to the owner was opened, on the monotonic clock, in
   *     milliseconds
   * @return the outcome, or {@link LinkReply.Failed} if the order was not and will not be sent
   */
  public Future<LinkReply> start(LinkRequest.StartRun request, long linkOpenedAt) {
    StartOrder order = request.order();
    if (!suspensionDetector.isUninterruptedSince(linkOpenedAt)) {
      return refuse(order, "the process was suspended");
    }
    if (OwnerTokens.epochOf(order.token()) < newestEpoch.getAsInt()) {
      return Future.succeededFuture(new LinkReply.Started(StartAnswer.of(StartOutcome.FENCED)));
    }
    String submission = order.run().task().submission();
    if (request.textIncluded()) {
      keepText(submission, order.text());
    }
    String text = textBySubmission.get(submission);
    if (text == null) {
      return refuse(order, "the text is not kept");
    }
    return workers.start(order.withText(text), workerTimeoutMillis).map(LinkReply.Started::new);
  }

  private Future<LinkReply> refuse(StartOrder order, String reason) {
    log.event(
        PART,
        "order-not-relayed",
        "id",
        order.run().task().submission(),
        "worker",
        order.worker(),
        "epoch",
        OwnerTokens.epochOf(order.token()),
        "reason",
        reason);
    return Future.succeededFuture(new LinkReply.Failed());
  }
}
