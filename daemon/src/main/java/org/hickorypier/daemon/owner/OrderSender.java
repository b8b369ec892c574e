package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.CellOutput;
import org.hickorypier.core.cell.EarlyCancellationCodec;
import org.hickorypier.core.cell.OrderRelayPolicy;
import org.hickorypier.core.cell.RosterCodec;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.cell.Run;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.StartAnswer;
import org.hickorypier.core.cell.StartOutcome;
import org.hickorypier.core.cell.StepRun;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.core.cell.WorkerTimeout;
import org.hickorypier.core.cell.WorkerView;
import org.hickorypier.core.submission.AdviceTerms;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.platform.execution.StartOrder;
import org.hickorypier.platform.execution.StopOutcome;
import org.hickorypier.platform.execution.TaskNames;

/**
 * Sends the cell's orders to the workers and the advisor under the owner's fencing token, and
 * passes the replies to the cell.
 *
 * <p>Invariant: after ownership ends, no reply reaches the cell. Confined to the control thread.
 */
final class OrderSender implements CellOutput {

  private static final String PART = "owner";

  /** Size of a start order beside the text of its submission: HTTP headers and JSON names. */
  private static final int ORDER_OVERHEAD_BYTES = 350;

  private final OwnerDependencies dependencies;
  private final int epoch;
  private final AdviceCallBalancer adviceCallBalancer;
  private final OrderRouter orderRouter;
  private final WorkerTimeout workerTimeout;
  private final OrderRelayPolicy relayPolicy;
  private boolean relaying;
  private final Events events;
  private Cell cell;
  private JournalWriter journal;

  /** Receives the events of the orders on behalf of the owner. */
  interface Events {

    /** Returns whether ownership has ended. */
    boolean isEnded();

    /** A reply has arrived that may allow further starts. */
    void workerAnswered();

    /** A worker has seen a higher fencing token. */
    void fenced(String worker);
  }

  OrderSender(
      OwnerDependencies dependencies,
      int epoch,
      AdviceCallBalancer adviceCallBalancer,
      OrderRouter orderRouter,
      WorkerTimeout workerTimeout,
      Events events) {
    this.dependencies = dependencies;
    this.epoch = epoch;
    this.adviceCallBalancer = adviceCallBalancer;
    this.orderRouter = orderRouter;
    this.workerTimeout = workerTimeout;
    this.relayPolicy = new OrderRelayPolicy(dependencies.linkBytesPerSecond());
    this.events = events;
  }

  /**
   * Connects the cell and the journal writer, which are created after this sender. Nothing is
   * ordered before.
   */
  void connect(Cell orderingCell, JournalWriter writer) {
    this.cell = orderingCell;
    this.journal = writer;
  }

  private long now() {
    return dependencies.timers().nowMillis();
  }

  @Override
  public void start(Run run, long deadline, String ticket) {
    WorkerEntry worker = run.worker().entry();
    String text = run.submission().spec().text();
    StartOrder order =
        new StartOrder(
            worker.id(),
            worker.address(),
            run.key(),
            text,
            deadline,
            run.worker().fencingToken(),
            run.checkpoint(),
            ticket);
    boolean relay = decideRelaying(ORDER_OVERHEAD_BYTES + text.length());
    // A repeated order goes directly: the relay may be the reason why the first had no answer.
    Future<StartAnswer> sent =
        relay && run.isFirstOrder() ? startThroughRelay(order) : startDirectly(order);
    sent.onSuccess(answer -> handleStartAnswer(run, order.token(), answer));
  }

  private boolean decideRelaying(int orderBytes) {
    boolean relay = relayPolicy.shouldRelay(orderBytes, now());
    if (relay != relaying) {
      relaying = relay;
      dependencies
          .log()
          .event(
              PART,
              relay ? "order-relaying-started" : "order-relaying-ended",
              "epoch",
              epoch,
              "order_bytes_per_second",
              relayPolicy.demandBytesPerSecond(),
              "link_bytes_per_second",
              Math.round(dependencies.linkBytesPerSecond()));
    }
    return relay;
  }

  private Future<StartAnswer> startThroughRelay(StartOrder order) {
    return orderRouter
        .start(order)
        .compose(
            answer -> answer.map(Future::succeededFuture).orElseGet(() -> startUnlessEnded(order)));
  }

  private Future<StartAnswer> startUnlessEnded(StartOrder order) {
    return events.isEnded() ? Future.succeededFuture(StartAnswer.MISSING) : startDirectly(order);
  }

  private Future<StartAnswer> startDirectly(StartOrder order) {
    long sentAt = now();
    return dependencies
        .workers()
        .start(order, workerTimeout.millis())
        .onSuccess(answer -> workerTimeout.record(now() - sentAt));
  }

  private void handleStartAnswer(Run run, long token, StartAnswer answer) {
    if (events.isEnded()) {
      return;
    }
    boolean fenced = answer.outcome() == StartOutcome.FENCED;
    if (fenced && isLatestToken(run.worker(), token)) {
      events.fenced(run.worker().id());
      return;
    }
    cell.startAnswered(run, fenced ? answer.withOutcome(StartOutcome.OTHER_LIFE) : answer, now());
    events.workerAnswered();
  }

  @Override
  public void stop(WorkerView worker, RunKey run) {
    long token = worker.fencingToken();
    dependencies
        .workers()
        .stop(worker.id(), worker.entry().address(), run, token, workerTimeout.millis())
        .onSuccess(outcome -> handleStopOutcome(worker, run, token, outcome));
  }

  /** Returns whether only a later owner can have issued a higher token for the worker. */
  private boolean isLatestToken(WorkerView worker, long token) {
    return cell.isKnown(worker) && token == worker.fencingToken();
  }

  private void handleStopOutcome(WorkerView worker, RunKey run, long token, StopOutcome outcome) {
    if (events.isEnded()) {
      return;
    }
    if (outcome == StopOutcome.FENCED && isLatestToken(worker, token)) {
      events.fenced(worker.id());
    } else if (outcome == StopOutcome.TAKEN) {
      cell.stopAnswered(worker, run, token, now());
    }
  }

  @Override
  public boolean advise(StepRun step, List<WorkerView> workers) {
    AdviceTerms terms = step.submission().spec().queue().advice().orElseThrow();
    double callMillis = terms.callMillis(workers.size());
    String name =
        TaskNames.formatStep(step.submission().spec().id(), step.occurrence(), step.index());
    List<String> ids = workers.stream().map(WorkerView::id).toList();
    long askedAt = now();
    Optional<Future<LinkReply>> call = adviceCallBalancer.ask(name, ids, callMillis);
    call.ifPresent(
        answer -> answer.onSuccess(reply -> handleAdviceReply(step, workers, reply, askedAt)));
    return call.isPresent();
  }

  private void handleAdviceReply(
      StepRun step, List<WorkerView> workers, LinkReply reply, long askedAt) {
    if (events.isEnded()) {
      return;
    }
    String id = step.submission().spec().id();
    long tookMillis = now() - askedAt;
    if (reply instanceof LinkReply.Tickets tickets) {
      cell.adviceAnswered(step, workers, tickets.tickets(), tickets.validMillis(), now());
      dependencies
          .log()
          .event(
              PART,
              "advised",
              "id",
              id,
              "step",
              step.index(),
              "named",
              workers.size(),
              "suitable",
              tickets.tickets().size(),
              "took_ms",
              tookMillis);
    } else {
      cell.adviceFailed(step, now());
      dependencies
          .log()
          .event(PART, "advice-failed", "id", id, "step", step.index(), "took_ms", tookMillis);
    }
    events.workerAnswered();
  }

  @Override
  public void save(Submission submission) {
    journal.save(submission);
  }

  @Override
  public void saveEnded(String id, byte[] spec) {
    orderRouter.forget(id);
    journal.put(JournalKeys.specKey(id), spec);
  }

  @Override
  public void drop(String id) {
    orderRouter.forget(id);
    journal.put(JournalKeys.specKey(id), null);
    journal.put(JournalKeys.progressKey(id), null);
  }

  @Override
  public void saveEarlyCancellations(String id, Map<String, Long> cancelledAtMillis) {
    journal.put(
        JournalKeys.earlyCancellationKey(id),
        cancelledAtMillis.isEmpty() ? null : EarlyCancellationCodec.encode(cancelledAtMillis));
  }

  @Override
  public void afterSave(Runnable action) {
    journal.afterSave(action);
  }

  @Override
  public void saveSpeeds(byte[] record) {
    journal.put(JournalKeys.SPEEDS, record);
  }

  @Override
  public void saveRoster(List<RosterEntry> entries, Runnable written) {
    journal.put(JournalKeys.ROSTER, RosterCodec.encode(entries));
    journal.afterSave(written);
  }
}
