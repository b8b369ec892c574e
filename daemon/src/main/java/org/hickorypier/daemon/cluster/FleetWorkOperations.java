package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.journal.JournalEntry;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.daemon.job.JobService;
import org.hickorypier.daemon.job.JournalService;
import org.hickorypier.daemon.operator.CancelOutcome;
import org.hickorypier.daemon.operator.OperatorFailureException;
import org.hickorypier.daemon.operator.OperatorFailureKind;
import org.hickorypier.daemon.operator.WorkCanceller;
import org.hickorypier.daemon.operator.WorkExplainer;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.WorkService;

/**
 * Cancels and explains work for operators at whichever instance has it.
 *
 * <p>Confined to the control thread. A job is cancelled through the journal, so that its home
 * learns of the cancellation whichever instance that is. A synchronous request is searched for at
 * every instance.
 */
public final class FleetWorkOperations implements WorkCanceller, WorkExplainer {

  private static final String FOUND = "found";
  private static final String CANCEL_DETAIL = "cancelled by an operator";

  private final Cluster cluster;
  private final JournalService journal;
  private final JobService jobs;
  private final WorkService work;
  private final Scheduler scheduler;
  private final TimerService timers;

  /**
   * Creates the operations and registers the handlers for requests of other instances.
   *
   * @param cluster this instance's view of the other instances
   * @param requests the dispatcher to register question handlers with
   * @param journal the journal of accepted work
   * @param jobs the service that cancels journaled jobs
   * @param work the work that this instance schedules
   * @param scheduler the local scheduler
   * @param timers the clock and the periodic timers
   */
  public FleetWorkOperations(
      Cluster cluster,
      PeerRequestDispatcher requests,
      JournalService journal,
      JobService jobs,
      WorkService work,
      Scheduler scheduler,
      TimerService timers) {
    this.cluster = cluster;
    this.journal = journal;
    this.jobs = jobs;
    this.work = work;
    this.scheduler = scheduler;
    this.timers = timers;
    requests.registerQuestionHandler(
        QuestionKind.CANCEL, text -> textReply(cancelLocally(parseWorkKey(text)) ? FOUND : ""));
    requests.registerQuestionHandler(
        QuestionKind.EXPLAIN, text -> textReply(explainLocally(parseWorkKey(text)).orElse("")));
  }

  @Override
  public Uni<CancelOutcome> cancel(WorkKey key) {
    Optional<JournalEntry> entry = journal.journal().find(key);
    if (entry.isPresent() && entry.get().hasEnded()) {
      return Uni.createFrom().item(CancelOutcome.ENDED_BEFORE);
    }
    if (entry.isPresent() && entry.get().accepted().job()) {
      return jobs.cancel(key).map(view -> CancelOutcome.CANCELLED);
    }
    if (cancelLocally(key)) {
      return Uni.createFrom().item(CancelOutcome.CANCELLED);
    }
    return cluster
        .askAll(cluster.listedOtherInstances(), QuestionKind.CANCEL, key.toString())
        .flatMap(this::outcomeOfReplies);
  }

  // An instance that does not answer, or a lost one whose tasks have not been found yet, may have
  // it.
  private Uni<CancelOutcome> outcomeOfReplies(List<PeerReply> replies) {
    if (firstNonEmptyText(replies).isPresent()) {
      return Uni.createFrom().item(CancelOutcome.CANCELLED);
    }
    boolean allAnswered = replies.stream().allMatch(reply -> reply.text().isPresent());
    if (allAnswered && jobs.hasReadAll()) {
      return Uni.createFrom().item(CancelOutcome.NOT_FOUND);
    }
    return Uni.createFrom()
        .failure(
            new OperatorFailureException(
                OperatorFailureKind.UNKNOWN_FATE,
                "not every instance can tell whether it has the work; repeat it, that is"
                    + " harmless"));
  }

  @Override
  public Uni<Optional<String>> explain(WorkKey key) {
    Optional<String> here = explainLocally(key);
    return here.isPresent()
        ? Uni.createFrom().item(here)
        : askForFirstText(QuestionKind.EXPLAIN, key);
  }

  private boolean cancelLocally(WorkKey key) {
    Set<WorkKey> keys = new HashSet<>();
    keys.add(key);
    scheduler.queued().forEach(item -> keys.add(item.key()));
    scheduler.placed().forEach(task -> keys.add(task.taskId().key()));
    boolean found = false;
    for (WorkKey known : keys) {
      found |= AttemptKey.workOf(known).equals(key) && work.cancel(known, CANCEL_DETAIL);
    }
    return found;
  }

  private Optional<String> explainLocally(WorkKey key) {
    return scheduler.queued().stream()
        .map(WorkItem::key)
        .filter(queued -> AttemptKey.workOf(queued).equals(key))
        .findFirst()
        .flatMap(queued -> scheduler.explain(queued, timers.nowMillis()));
  }

  private Uni<Optional<String>> askForFirstText(QuestionKind kind, WorkKey key) {
    return cluster
        .askAll(cluster.liveOtherInstances(), kind, key.toString())
        .map(FleetWorkOperations::firstNonEmptyText);
  }

  private static Optional<String> firstNonEmptyText(List<PeerReply> replies) {
    return replies.stream()
        .flatMap(reply -> reply.text().stream())
        .filter(text -> !text.isEmpty())
        .findFirst();
  }

  private static Uni<byte[]> textReply(String text) {
    return Uni.createFrom().item(Cluster.utf8Bytes(text));
  }

  private static WorkKey parseWorkKey(String text) {
    return Cluster.parseWorkKey(text);
  }
}
