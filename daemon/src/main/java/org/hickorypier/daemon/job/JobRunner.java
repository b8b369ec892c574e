package org.hickorypier.daemon.job;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.journal.JournalEntry;
import org.hickorypier.core.journal.JournalTask;
import org.hickorypier.core.journal.OpenAttempt;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.daemon.work.WorkService;
import org.hickorypier.wire.record.JournalRecord;
import org.hickorypier.wire.record.JournalRecord.Accepted;
import org.hickorypier.wire.record.JournalRecord.Attempt;
import org.hickorypier.wire.record.JournalRecord.AttemptVoid;
import org.hickorypier.wire.record.JournalRecord.Ended;

/**
 * Brings the jobs of which this instance is home to their ends.
 *
 * <p>Belongs to the control thread. It looks at an entry whenever the journal changes it, and at
 * all open ones now and then, so that a lost message delays a job and never loses it. It holds no
 * state that the journal does not: a new home goes on where the old one stopped.
 */
public final class JobRunner {

  private static final Logger LOGGER = System.getLogger(JobRunner.class.getName());

  /** Orphans and refused attempts are looked at this often; a takeover takes some seconds. */
  private static final Duration LOOK_PERIOD = Duration.ofSeconds(1);

  /** After these refusals the same task would be refused again. */
  private static final Set<RefusalReason> FINAL_REFUSALS =
      Set.of(
          RefusalReason.NEVER_FITS,
          RefusalReason.FAILS_EVERYWHERE,
          RefusalReason.DEADLINE_PASSED,
          RefusalReason.KEY_WITHDRAWN);

  private final JournalService journal;
  private final AttemptRecorder recorder;
  private final OrphanResolver orphans;
  private final WorkService work;
  private final TimerService timers;
  private final JobScope scope;
  private final Map<WorkKey, OpenJob> openJobs = new HashMap<>();

  /**
   * Creates a runner.
   *
   * @param journal the journal
   * @param recorder journals attempts
   * @param orphans settles attempts of lost owners
   * @param work the work decided here
   * @param timers the time
   * @param scope which work is ours
   */
  public JobRunner(
      JournalService journal,
      AttemptRecorder recorder,
      OrphanResolver orphans,
      WorkService work,
      TimerService timers,
      JobScope scope) {
    this.journal = journal;
    this.recorder = recorder;
    this.orphans = orphans;
    this.work = work;
    this.timers = timers;
    this.scope = scope;
  }

  /** Starts to look after the jobs. */
  public void start() {
    journal.subscribe(key -> journal.journal().find(key).ifPresent(this::look));
    timers.every(LOOK_PERIOD, this::lookAtAll);
  }

  private void lookAtAll() {
    for (WorkKey key : List.copyOf(openJobs.keySet())) {
      journal.journal().find(key).ifPresentOrElse(this::look, () -> openJobs.remove(key));
    }
  }

  /**
   * Submits one attempt of a task, or of a whole gang.
   *
   * @param entry the accepted work
   * @param key the attempt
   * @param deadlineMillis the latest start that is of use
   * @param firstTriedMillis when its caller first asked
   * @param payload what the tasks are given
   * @param answer is given the result before it is journaled
   */
  void submit(
      JournalEntry entry,
      AttemptKey key,
      long deadlineMillis,
      long firstTriedMillis,
      byte[] payload,
      Consumer<WorkResult> answer) {
    WorkKey attemptKey = key.workKey();
    OpenJob job = openJob(entry);
    if (job.submitted.add(attemptKey)) {
      WorkItem item = item(entry, key, deadlineMillis).withFirstTriedMillis(firstTriedMillis);
      Submission submission = new Submission(item, payload);
      work.submit(
          submission,
          result -> {
            job.submitted.remove(attemptKey);
            answer.accept(result);
            settle(entry, key, result);
          });
    }
  }

  /**
   * Runs an attempt that its home has sent here. It is journaled here as the home would do it.
   *
   * @param submission the attempt
   * @param answer is given the result; {@code NO_ROOM} sends the attempt back to its home
   */
  public void runForHome(Submission submission, Consumer<WorkResult> answer) {
    AttemptKey key = AttemptKey.parse(submission.item().key()).orElseThrow();
    Optional<JournalEntry> entry = journal.journal().find(key.work());
    if (entry.isEmpty()) {
      // The home has read the log further than we have.
      answer.accept(
          new WorkResult.Refused(
              new Refusal(RefusalReason.NO_ROOM, "the journal is not read so far here", 0)));
      return;
    }
    work.submitFromHome(
        submission,
        result -> {
          answer.accept(result);
          settleAttempts(key, result);
        });
  }

  /**
   * Joins a repeated request to an attempt that runs here or was answered here lately.
   *
   * @param entry the accepted work
   * @param key the attempt
   * @param answer is given the attempt's answer
   * @return false if the attempt is not known here
   */
  boolean join(JournalEntry entry, AttemptKey key, Consumer<WorkResult> answer) {
    return work.join(new Submission(item(entry, key, 0), entry.accepted().payload()), answer);
  }

  private void look(JournalEntry entry) {
    OpenJob job = openJob(entry);
    if (entry.isCancelled()) {
      List.copyOf(job.submitted).forEach(key -> work.cancel(key, entry.detail()));
    }
    if (entry.hasEnded()) {
      openJobs.remove(entry.key());
      return;
    }
    if (!scope.isHome(entry.key()) || !scope.isReady()) {
      return;
    }
    lookForOrphans(entry);
    if (entry.isCancelled()) {
      stop(entry);
    } else if (entry.accepted().job()) {
      attemptWhatIsMissing(entry);
    }
  }

  private void lookForOrphans(JournalEntry entry) {
    for (int index = 0; index < entry.tasks().size(); index++) {
      OpenAttempt open = entry.tasks().get(index).open().orElse(null);
      if (open != null && !scope.isLive(open.owner())) {
        orphans.resolve(entry, index, open, attemptKey(entry, index, open.attempt()).taskId(index));
      }
    }
  }

  private void stop(JournalEntry entry) {
    for (int index = 0; index < entry.tasks().size(); index++) {
      OpenAttempt open = entry.tasks().get(index).open().orElse(null);
      if (open != null) {
        scope.stop(attemptKey(entry, index, open.attempt()).taskId(index));
      }
    }
  }

  private void attemptWhatIsMissing(JournalEntry entry) {
    if (isGang(entry)) {
      if (!entry.hasOpenAttempt()) {
        submitAttempt(entry, AttemptKey.WHOLE_GANG, lastAttempt(entry) + 1);
      }
      return;
    }
    for (int index = 0; index < entry.tasks().size(); index++) {
      JournalTask task = entry.tasks().get(index);
      if (task.outcome().isEmpty() && task.open().isEmpty()) {
        submitAttempt(entry, index, task.lastAttempt() + 1);
      }
    }
  }

  private void submitAttempt(JournalEntry entry, int index, int attempt) {
    // The time of acceptance is in no instance's clock but that of the one which accepted it. A new
    // home counts the deadline from when it first saw the work: a job may start late, never twice.
    long deadline = openJob(entry).firstSeenMillis + entry.accepted().deadlineMillis();
    submit(
        entry,
        new AttemptKey(entry.key(), index, attempt),
        deadline,
        timers.nowMillis(),
        entry.accepted().payload(),
        result -> {});
  }

  private void settle(JournalEntry entry, AttemptKey key, WorkResult result) {
    settleAttempts(key, result);
    if (result instanceof WorkResult.Refused refused
        && FINAL_REFUSALS.contains(refused.cause().reason())
        && entry.accepted().job()) {
      LOGGER.log(Level.INFO, "job: {0} not run: {1}", entry.key(), refused.cause().detail());
      endUnattempted(entry, key, refused.cause().detail());
    }
  }

  // Whoever journaled the attempts journals their ends; for work that ran at a peer that is the
  // peer, and here there is nothing to settle.
  private void settleAttempts(AttemptKey key, WorkResult result) {
    for (Attempt attempt : recorder.release(key.workKey())) {
      if (result instanceof WorkResult.Answered answered) {
        append(ended(attempt, answered.outcome(), answered.detail()));
      } else {
        append(
            new AttemptVoid(
                attempt.team(), attempt.requestId(), attempt.index(), attempt.attempt()));
      }
    }
  }

  private void endUnattempted(JournalEntry entry, AttemptKey key, String detail) {
    List<Integer> indexes = new ArrayList<>();
    if (key.index() == AttemptKey.WHOLE_GANG) {
      for (int index = 0; index < entry.tasks().size(); index++) {
        indexes.add(index);
      }
    } else {
      indexes.add(key.index());
    }
    for (int index : indexes) {
      append(
          new Ended(
              entry.key().team(),
              entry.key().requestId(),
              index,
              0,
              Outcome.NOT_RUN.name(),
              detail));
    }
  }

  private static Ended ended(Attempt attempt, Outcome outcome, String detail) {
    return new Ended(
        attempt.team(),
        attempt.requestId(),
        attempt.index(),
        attempt.attempt(),
        outcome.name(),
        detail);
  }

  private void append(JournalRecord record) {
    journal.append(record).subscribe().with(offset -> {}, error -> {});
  }

  private WorkItem item(JournalEntry entry, AttemptKey key, long deadlineMillis) {
    Accepted accepted = entry.accepted();
    long now = timers.nowMillis();
    return new WorkItem(
        key.workKey(),
        WorkClass.valueOf(accepted.workClass()),
        accepted.name(),
        new Resources(
            accepted.milliProcessors(), accepted.memoryMebibytes(), accepted.accelerators()),
        key.index() == AttemptKey.WHOLE_GANG ? accepted.tasks() : 1,
        accepted.idempotent(),
        now,
        deadlineMillis,
        accepted.runMillis());
  }

  private OpenJob openJob(JournalEntry entry) {
    return openJobs.computeIfAbsent(entry.key(), key -> new OpenJob(timers.nowMillis()));
  }

  private static AttemptKey attemptKey(JournalEntry entry, int index, int attempt) {
    return new AttemptKey(entry.key(), isGang(entry) ? AttemptKey.WHOLE_GANG : index, attempt);
  }

  private static boolean isGang(JournalEntry entry) {
    return entry.accepted().workClass().equals(WorkClass.GANG.name());
  }

  private static int lastAttempt(JournalEntry entry) {
    return entry.tasks().stream().mapToInt(JournalTask::lastAttempt).max().orElse(0);
  }

  /** What this instance alone knows of work that has not ended. */
  private static final class OpenJob {
    private final long firstSeenMillis;
    private final Set<WorkKey> submitted = new HashSet<>();

    OpenJob(long firstSeenMillis) {
      this.firstSeenMillis = firstSeenMillis;
    }
  }
}
