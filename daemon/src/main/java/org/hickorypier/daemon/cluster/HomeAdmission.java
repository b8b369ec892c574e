package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.membership.FormerHomes;
import org.hickorypier.core.membership.HomeHistory;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.FirstTryTracker;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.daemon.work.WorkService;

/**
 * Admits work at its home instance after ruling out that a former home still runs it.
 *
 * <p>Confined to the control thread. When the home of a key has moved, the former home is asked if
 * it is live. Every live instance is asked if the former home is lost or has restarted, or if this
 * instance does not know yet which instances were homes before it started: one of them has adopted
 * the former home's tasks. While an instance has incomplete information, the caller receives an
 * unsettled result with a retry delay. This lasts as long as a takeover and costs nothing while the
 * membership is stable.
 */
public final class HomeAdmission {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  /**
   * An instance that was presumed lost while it was paused reads that from the log within this
   * time. Until then it still acts as the home of work that other instances have taken over.
   */
  private static final long HOME_SETTLING_MILLIS = 5_000;

  private final Cluster cluster;
  private final HomeHistory history;
  private final WorkService work;
  private final TimerService timers;
  private final Executor control;
  private final BooleanSupplier allWorkerTasksKnown;
  private final long callerRetryMillis;
  private final BiConsumer<Submission, Consumer<WorkResult>> nonIdempotentRunner;
  private final FirstTryTracker firstTries;

  /**
   * Creates the admission service.
   *
   * @param cluster this instance's view of the other instances
   * @param history the history of home candidates
   * @param work the work that this instance schedules
   * @param timers the clock and the periodic timers
   * @param control the executor of the control thread
   * @param allWorkerTasksKnown whether the tasks of all workers that this instance should control
   *     are known
   * @param callerRetryMillis how long after a try its caller may retry, in milliseconds
   * @param firstTries records when callers first tried
   * @param nonIdempotentRunner runs requests that are not idempotent
   */
  public HomeAdmission(
      Cluster cluster,
      HomeHistory history,
      WorkService work,
      TimerService timers,
      Executor control,
      BooleanSupplier allWorkerTasksKnown,
      long callerRetryMillis,
      FirstTryTracker firstTries,
      BiConsumer<Submission, Consumer<WorkResult>> nonIdempotentRunner) {
    this.cluster = cluster;
    this.history = history;
    this.work = work;
    this.timers = timers;
    this.control = control;
    this.allWorkerTasksKnown = allWorkerTasksKnown;
    this.callerRetryMillis = callerRetryMillis;
    this.firstTries = firstTries;
    this.nonIdempotentRunner = nonIdempotentRunner;
  }

  /**
   * Answers another instance's question about work.
   *
   * @param text the text of a {@link WorkKnowledgeQuestion}
   * @return the reply's bytes
   */
  public Uni<byte[]> answerKnowledgeQuestion(String text) {
    WorkKnowledgeQuestion question = WorkKnowledgeQuestion.parse(text);
    long triedFor = firstTries.triedForMillis(question.key(), timers.nowMillis());
    WorkKnowledgeReply reply =
        new WorkKnowledgeReply(cluster.localIdentity().name(), localKnowledge(question), triedFor);
    return Uni.createFrom().item(Cluster.utf8Bytes(reply.text()));
  }

  private WorkKnowledge localKnowledge(WorkKnowledgeQuestion question) {
    if (work.knows(question.key())) {
      return WorkKnowledge.KNOWN;
    }
    // An instance that still considers a lost instance live has not begun to search for its tasks.
    boolean seesThemLost = Collections.disjoint(cluster.liveInstances(), question.lostInstances());
    if (!allWorkerTasksKnown.getAsBoolean() || !seesThemLost) {
      return WorkKnowledge.INCOMPLETE;
    }
    return wasNeverAccepted(question.key()) ? WorkKnowledge.NEVER_TAKEN : WorkKnowledge.NOT_RUNNING;
  }

  // Work of an earlier incarnation of this instance may run for longer than callers retry.
  private boolean wasNeverAccepted(WorkKey key) {
    FormerHomes former = history.formerHomes(key.toString(), timers.nowMillis());
    return recentFormerHomes(key).complete()
        && !former.ownEarlierIncarnation()
        && work.wasNeverTaken(key);
  }

  private FormerHomes recentFormerHomes(WorkKey key) {
    return history.formerHomes(key.toString(), timers.nowMillis(), callerRetryMillis);
  }

  /**
   * Tells whether an instance has been the home of work long enough for all instances to know it.
   *
   * @param instance the instance's name
   * @param key the key of the work or of an attempt
   * @return false if, by this instance's history, another instance was the home recently
   */
  public boolean isSettledHome(String instance, WorkKey key) {
    String home = AttemptKey.workOf(key).toString();
    return history.hasBeenSoleHome(instance, home, timers.nowMillis(), HOME_SETTLING_MILLIS);
  }

  /**
   * Admits work as its home.
   *
   * @param submission the work
   * @param answer receives the final answer on the control thread
   */
  public void submit(Submission submission, Consumer<WorkResult> answer) {
    WorkKey key = submission.item().key();
    if (work.knows(key)) {
      run(submission, answer);
      return;
    }
    FormerHomes former = history.formerHomes(key.toString(), timers.nowMillis());
    if (former.areRuledOut()) {
      run(submission, answer);
    } else {
      ask(submission, former, instancesToAsk(former), answer);
    }
  }

  private void run(Submission received, Consumer<WorkResult> answer) {
    Submission submission = firstTries.recordTry(received, timers.nowMillis());
    if (submission.item().idempotent()) {
      work.submit(submission, answer);
    } else {
      nonIdempotentRunner.accept(submission, answer);
    }
  }

  /** An earlier incarnation may have left tasks on any worker, so all live instances are asked. */
  private Set<String> instancesToAsk(FormerHomes former) {
    boolean allLive = cluster.liveInstances().containsAll(former.others());
    boolean suffices = former.complete() && !former.ownEarlierIncarnation() && allLive;
    return suffices ? former.others() : cluster.liveOtherInstances();
  }

  private void ask(
      Submission submission,
      FormerHomes former,
      Set<String> instances,
      Consumer<WorkResult> answer) {
    Set<String> lost = new TreeSet<>(former.others());
    lost.removeAll(cluster.liveInstances());
    WorkKnowledgeQuestion question = new WorkKnowledgeQuestion(submission.item().key(), lost);
    boolean asksAll = instances.equals(cluster.liveOtherInstances());
    cluster
        .askAll(instances, QuestionKind.KNOWS, question.text())
        .subscribe()
        .with(
            replies ->
                control.execute(
                    () -> {
                      List<WorkKnowledgeReply> knowledgeReplies =
                          replies.stream().map(WorkKnowledgeReply::of).toList();
                      onReplies(
                          withFirstTry(submission, knowledgeReplies),
                          former,
                          asksAll,
                          knowledgeReplies,
                          answer);
                    }));
  }

  private void onReplies(
      Submission submission,
      FormerHomes former,
      boolean askedAll,
      List<WorkKnowledgeReply> replies,
      Consumer<WorkResult> answer) {
    FormerHomes recentHomes = recentFormerHomes(submission.item().key());
    switch (AdmissionRule.decide(
        recentHomes, askedAll, allWorkerTasksKnown.getAsBoolean(), replies)) {
      case JOIN -> join(submission, replies, answer);
      case WAIT -> answer.accept(notReadyResult(replies));
      case ASK_ALL -> ask(submission, former, cluster.liveOtherInstances(), answer);
      case RUN_AFTER_EARLIER_TRY -> run(submission.withPossibleEarlierRun(), answer);
      case RUN -> run(submission, answer);
      default -> throw new IllegalStateException("unknown admission step");
    }
  }

  private void join(
      Submission submission, List<WorkKnowledgeReply> replies, Consumer<WorkResult> answer) {
    String holder =
        replies.stream()
            .filter(reply -> reply.knowledge() == WorkKnowledge.KNOWN)
            .map(WorkKnowledgeReply::instance)
            .findFirst()
            .orElseThrow();
    cluster
        .join(holder, submission)
        .subscribe()
        .with(result -> control.execute(() -> answer.accept(result)));
  }

  private WorkResult notReadyResult(List<WorkKnowledgeReply> replies) {
    Set<String> searching = new TreeSet<>();
    replies.stream()
        .filter(reply -> reply.knowledge() == WorkKnowledge.INCOMPLETE)
        .forEach(reply -> searching.add(reply.instance()));
    if (!allWorkerTasksKnown.getAsBoolean()) {
      searching.add(cluster.localIdentity().name());
    }
    String detail =
        "the set of instances has changed and earlier work is still being located by "
            + String.join(", ", searching);
    return new WorkResult.Unsettled(
        new Refusal(RefusalReason.NOT_READY, detail, RETRY_AFTER_MILLIS));
  }

  // The caller may have tried another instance before. Its queue position counts from the first
  // try.
  private Submission withFirstTry(Submission submission, List<WorkKnowledgeReply> replies) {
    long longest = replies.stream().mapToLong(WorkKnowledgeReply::triedForMillis).max().orElse(0);
    long first = Math.min(submission.item().firstTriedMillis(), timers.nowMillis() - longest);
    return submission.withFirstTriedMillis(first);
  }
}
