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
import org.hickorypier.daemon.work.FirstTries;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.daemon.work.WorkService;

/**
 * Takes in work at its home, after making sure that no former home still runs it.
 *
 * <p>Belongs to the control thread. When the home of a key has moved, the former home is asked if
 * it lives. If it is gone or has started anew, or if this instance does not know yet who was home
 * before it started, every live instance is asked, since one of them has adopted its tasks; while
 * one of them cannot tell yet, the caller is sent away with a time to come back. That takes as long
 * as a takeover, and costs nothing while the membership is quiet.
 */
public final class HomeIntake {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  /**
   * An instance that was taken for gone while it was paused reads so in the log within this time;
   * until then it goes on as if it were home of what others have taken over.
   */
  private static final long SETTLING_MILLIS = 5_000;

  private final Cluster cluster;
  private final HomeHistory history;
  private final WorkService work;
  private final TimerService timers;
  private final Executor control;
  private final BooleanSupplier workersComplete;
  private final long comeBackMillis;
  private final BiConsumer<Submission, Consumer<WorkResult>> once;
  private final FirstTries firstTries;

  /**
   * Creates the intake.
   *
   * @param cluster the other instances
   * @param history former homes
   * @param work the work decided here
   * @param timers the time
   * @param control the control thread
   * @param workersComplete whether the tasks of all workers that this instance should control are
   *     known
   * @param comeBackMillis how long after a try its caller may come back
   * @param firstTries remembers who came back
   * @param once runs requests that are not idempotent
   */
  public HomeIntake(
      Cluster cluster,
      HomeHistory history,
      WorkService work,
      TimerService timers,
      Executor control,
      BooleanSupplier workersComplete,
      long comeBackMillis,
      FirstTries firstTries,
      BiConsumer<Submission, Consumer<WorkResult>> once) {
    this.cluster = cluster;
    this.history = history;
    this.work = work;
    this.timers = timers;
    this.control = control;
    this.workersComplete = workersComplete;
    this.comeBackMillis = comeBackMillis;
    this.firstTries = firstTries;
    this.once = once;
  }

  /**
   * Answers another instance that asks after work.
   *
   * @param text the question
   * @return the answer's bytes
   */
  public Uni<byte[]> knows(String text) {
    KnowsQuestion question = KnowsQuestion.parse(text);
    long triedFor = firstTries.triedForMillis(question.key(), timers.nowMillis());
    KnowsReply reply = new KnowsReply(cluster.own().name(), knowledge(question), triedFor);
    return Uni.createFrom().item(Cluster.bytes(reply.text()));
  }

  private WorkKnowledge knowledge(KnowsQuestion question) {
    if (work.knows(question.key())) {
      return WorkKnowledge.KNOWN;
    }
    // Whoever still takes a lost instance for live has not begun to look for its tasks.
    boolean seesThemGone = Collections.disjoint(cluster.live(), question.gone());
    if (!workersComplete.getAsBoolean() || !seesThemGone) {
      return WorkKnowledge.INCOMPLETE;
    }
    return neverTaken(question.key()) ? WorkKnowledge.NEVER_TAKEN : WorkKnowledge.NOT_RUNNING;
  }

  // What an earlier life of this instance started may run for longer than callers come back.
  private boolean neverTaken(WorkKey key) {
    FormerHomes former = history.formerHomes(key.toString(), timers.nowMillis());
    return lately(key).complete() && !former.ownEarlierIncarnation() && work.neverTaken(key);
  }

  private FormerHomes lately(WorkKey key) {
    return history.formerHomes(key.toString(), timers.nowMillis(), comeBackMillis);
  }

  /**
   * Tells whether an instance has been home of some work long enough for all to know it.
   *
   * @param instance the instance's name
   * @param key the work, or an attempt of it
   * @return false if another was home lately, as seen here
   */
  public boolean isSettledHome(String instance, WorkKey key) {
    String home = AttemptKey.workOf(key).toString();
    return history.hasBeenSoleHome(instance, home, timers.nowMillis(), SETTLING_MILLIS);
  }

  /**
   * Takes work in as its home.
   *
   * @param submission the work
   * @param answer is given the final answer, on the control thread
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
      ask(submission, former, whom(former), answer);
    }
  }

  private void run(Submission tried, Consumer<WorkResult> answer) {
    Submission submission = firstTries.note(tried, timers.nowMillis());
    if (submission.item().idempotent()) {
      work.submit(submission, answer);
    } else {
      once.accept(submission, answer);
    }
  }

  /** An earlier life of an instance may have left tasks on any worker, so that all are asked. */
  private Set<String> whom(FormerHomes former) {
    boolean allLive = cluster.live().containsAll(former.others());
    boolean suffices = former.complete() && !former.ownEarlierIncarnation() && allLive;
    return suffices ? former.others() : cluster.liveOthers();
  }

  private void ask(
      Submission submission,
      FormerHomes former,
      Set<String> instances,
      Consumer<WorkResult> answer) {
    Set<String> gone = new TreeSet<>(former.others());
    gone.removeAll(cluster.live());
    KnowsQuestion question = new KnowsQuestion(submission.item().key(), gone);
    boolean asksAll = instances.equals(cluster.liveOthers());
    cluster
        .askAll(instances, QuestionKind.KNOWS, question.text())
        .subscribe()
        .with(
            replies ->
                control.execute(
                    () -> {
                      List<KnowsReply> told = replies.stream().map(KnowsReply::of).toList();
                      told(withFirstTry(submission, told), former, asksAll, told, answer);
                    }));
  }

  private void told(
      Submission submission,
      FormerHomes former,
      boolean askedAll,
      List<KnowsReply> replies,
      Consumer<WorkResult> answer) {
    FormerHomes lately = lately(submission.item().key());
    switch (TakeInRule.decide(lately, askedAll, workersComplete.getAsBoolean(), replies)) {
      case JOIN -> join(submission, replies, answer);
      case WAIT -> answer.accept(notYet(replies));
      case ASK_ALL -> ask(submission, former, cluster.liveOthers(), answer);
      case RUN_AFTER_EARLIER_TRY -> run(submission.afterEarlierTry(), answer);
      case RUN -> run(submission, answer);
      default -> throw new IllegalStateException("unknown step");
    }
  }

  private void join(Submission submission, List<KnowsReply> replies, Consumer<WorkResult> answer) {
    String holder =
        replies.stream()
            .filter(reply -> reply.knowledge() == WorkKnowledge.KNOWN)
            .map(KnowsReply::instance)
            .findFirst()
            .orElseThrow();
    cluster
        .join(holder, submission)
        .subscribe()
        .with(result -> control.execute(() -> answer.accept(result)));
  }

  private WorkResult notYet(List<KnowsReply> replies) {
    Set<String> searching = new TreeSet<>();
    replies.stream()
        .filter(reply -> reply.knowledge() == WorkKnowledge.INCOMPLETE)
        .forEach(reply -> searching.add(reply.instance()));
    if (!workersComplete.getAsBoolean()) {
      searching.add(cluster.own().name());
    }
    String detail =
        "an instance has changed and its work is being found again by "
            + String.join(", ", searching);
    return new WorkResult.Unsettled(
        new Refusal(RefusalReason.NOT_READY, detail, RETRY_AFTER_MILLIS));
  }

  // The caller may have asked elsewhere before, and keeps its place by that.
  private Submission withFirstTry(Submission submission, List<KnowsReply> replies) {
    long longest = replies.stream().mapToLong(KnowsReply::triedForMillis).max().orElse(0);
    long first = Math.min(submission.item().firstTriedMillis(), timers.nowMillis() - longest);
    return submission.firstTriedAt(first);
  }
}
