package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hickorypier.core.membership.HomeHistory;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.daemon.work.WorkService;

/**
 * Takes in work at its home, after making sure that no former home still runs it.
 *
 * <p>Belongs to the control thread. When the home of a key has moved, the former home is asked if
 * it lives. If it is gone, every live instance is asked, since one of them has adopted its tasks;
 * while one of them cannot tell yet, the caller is sent away with a time to come back. That takes
 * as long as a takeover, and costs nothing while the membership is quiet.
 */
public final class HomeIntake {

  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final String KNOWN = "known";
  private static final String UNKNOWN = "unknown";
  private static final String INCOMPLETE = "incomplete";

  private final Cluster cluster;
  private final HomeHistory history;
  private final WorkService work;
  private final TimerService timers;
  private final Executor control;
  private final BooleanSupplier workersComplete;
  private final BiConsumer<Submission, Consumer<WorkResult>> once;

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
   * @param once runs requests that are not idempotent
   */
  public HomeIntake(
      Cluster cluster,
      HomeHistory history,
      WorkService work,
      TimerService timers,
      Executor control,
      BooleanSupplier workersComplete,
      BiConsumer<Submission, Consumer<WorkResult>> once) {
    this.cluster = cluster;
    this.history = history;
    this.work = work;
    this.timers = timers;
    this.control = control;
    this.workersComplete = workersComplete;
    this.once = once;
  }

  /**
   * Answers another instance that asks after work.
   *
   * @param key the work's key as text
   * @return the answer's bytes
   */
  public Uni<byte[]> knows(String key) {
    return Uni.createFrom().item(Cluster.bytes(knownHere(key)));
  }

  private String knownHere(String key) {
    if (work.knows(Cluster.workKey(key))) {
      return KNOWN;
    }
    return workersComplete.getAsBoolean() ? UNKNOWN : INCOMPLETE;
  }

  /**
   * Takes work in as its home.
   *
   * @param submission the work
   * @param answer is given the final answer, on the control thread
   */
  public void submit(Submission submission, Consumer<WorkResult> answer) {
    WorkKey key = submission.item().key();
    Collection<String> former =
        work.knows(key) ? List.of() : history.formerHomes(key.toString(), timers.nowMillis());
    if (former.isEmpty()) {
      run(submission, answer);
      return;
    }
    ask(key, whom(former), answers -> decide(submission, answer, answers));
  }

  private void run(Submission submission, Consumer<WorkResult> answer) {
    if (submission.item().idempotent()) {
      work.submit(submission, answer);
    } else {
      once.accept(submission, answer);
    }
  }

  private Collection<String> whom(Collection<String> former) {
    Set<String> live = cluster.live();
    if (live.containsAll(former)) {
      return former;
    }
    return cluster.liveOthers();
  }

  private void ask(WorkKey key, Collection<String> instances, Consumer<List<PeerReply>> told) {
    cluster
        .askAll(instances, QuestionKind.KNOWS, key.toString())
        .subscribe()
        .with(replies -> control.execute(() -> told.accept(replies)));
  }

  private void decide(Submission submission, Consumer<WorkResult> answer, List<PeerReply> replies) {
    Optional<String> holder =
        replies.stream()
            .filter(reply -> reply.text().orElse("").equals(KNOWN))
            .map(PeerReply::instance)
            .findFirst();
    boolean incomplete =
        !workersComplete.getAsBoolean()
            || replies.stream()
                .anyMatch(reply -> reply.text().orElse(INCOMPLETE).equals(INCOMPLETE));
    if (holder.isPresent()) {
      cluster
          .join(holder.get(), submission)
          .subscribe()
          .with(result -> control.execute(() -> answer.accept(result)));
    } else if (incomplete) {
      answer.accept(
          new WorkResult.Refused(
              new Refusal(
                  RefusalReason.NOT_READY,
                  "an instance has changed and its work is being found again",
                  RETRY_AFTER_MILLIS)));
    } else {
      run(submission, answer);
    }
  }
}
