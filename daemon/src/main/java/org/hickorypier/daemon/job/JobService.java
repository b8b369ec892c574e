package org.hickorypier.daemon.job;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.journal.JournalEntry;
import org.hickorypier.core.journal.JournalTask;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.caller.CallerGateway.JobView;
import org.hickorypier.daemon.caller.DenialKind;
import org.hickorypier.daemon.caller.DeniedException;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.wire.record.JournalRecord;
import org.hickorypier.wire.record.JournalRecord.Accepted;
import org.hickorypier.wire.record.JournalRecord.Cancelled;

/**
 * Accepts, shows and cancels jobs, and runs requests that are not idempotent at most once.
 *
 * <p>Belongs to the control thread. A job is accepted only after its record has been read back, so
 * no accepted job can be lost with an instance.
 */
public final class JobService {

  private static final long RETRY_AFTER_MILLIS = 2_000;

  /** Longer than an append and its reading back; a worker that changes hands needs no less. */
  private static final Duration NEXT_ATTEMPT = Duration.ofMillis(100);

  /** Past this the caller is told that nobody knows yet, and asks after the job instead. */
  private static final Duration ACCEPT_WAIT = Duration.ofSeconds(10);

  private final JournalService journal;
  private final JobRunner runner;
  private final KeptAnswers kept;
  private final TimerService timers;
  private final Supplier<JournalReading> reading;

  /**
   * Creates the service.
   *
   * @param journal the journal
   * @param runner runs the attempts
   * @param kept fetches answers that workers still hold
   * @param timers the time
   * @param reading how far the journal is read
   */
  public JobService(
      JournalService journal,
      JobRunner runner,
      KeptAnswers kept,
      TimerService timers,
      Supplier<JournalReading> reading) {
    this.journal = journal;
    this.runner = runner;
    this.kept = kept;
    this.timers = timers;
    this.reading = reading;
  }

  /**
   * Accepts a job. Repeating it under the same id changes nothing.
   *
   * @param submission the job
   * @return where it stands, or a {@link DeniedException}
   */
  public Uni<JobView> accept(Submission submission) {
    WorkKey key = submission.item().key();
    Optional<JournalEntry> known = journal.journal().find(key);
    if (known.isPresent()) {
      return Uni.createFrom().item(view(known.get()));
    }
    if (!hasReadAll()) {
      return Uni.createFrom().failure(logSilent());
    }
    Accepted record = record(submission, true);
    return withinWait(journal.append(record), record).onItem().transformToUni(offset -> found(key));
  }

  /**
   * Shows a job.
   *
   * @param key the job
   * @return where it stands
   * @throws DeniedException if there is no such job, or if the journal is not read far enough to
   *     tell
   */
  public JobView find(WorkKey key) throws DeniedException {
    Optional<JournalEntry> entry = journal.journal().find(key);
    if (entry.isEmpty() && !hasReadAll()) {
      throw new DeniedException(
          DenialKind.UNAVAILABLE,
          "this instance has not read the journal to its end",
          RETRY_AFTER_MILLIS);
    }
    if (entry.isEmpty() || !entry.get().accepted().job()) {
      throw new DeniedException(DenialKind.NOT_FOUND, "no job " + key.requestId(), 0);
    }
    return view(entry.get());
  }

  /**
   * Tells whether work that the journal here does not hold was not accepted.
   *
   * @return false after a start, and while the log does not answer
   */
  public boolean hasReadAll() {
    return reading.get() == JournalReading.CURRENT;
  }

  /**
   * Cancels a job. Idempotent.
   *
   * @param key the job
   * @return where it stands afterwards, or a {@link DeniedException}
   */
  public Uni<JobView> cancel(WorkKey key) {
    Optional<JournalEntry> entry = journal.journal().find(key);
    if (entry.isEmpty() || entry.get().hasEnded() || entry.get().isCancelled()) {
      return found(key);
    }
    Cancelled record = new Cancelled(key.team(), key.requestId(), "cancelled");
    return withinWait(journal.append(record), record).onItem().transformToUni(offset -> found(key));
  }

  /**
   * Runs a request that is not idempotent, at most once.
   *
   * @param submission the request
   * @param answer is given the final answer, on the control thread
   */
  public void runOnce(Submission submission, Consumer<WorkResult> answer) {
    JournalReading journalRead = reading.get();
    if (journalRead == JournalReading.SILENT) {
      answer.accept(
          unsettled(
              RefusalReason.LOG_SILENT,
              "the log does not answer, so it cannot be run at most once"));
      return;
    }
    if (journalRead == JournalReading.BEHIND) {
      answer.accept(unsettled(RefusalReason.NOT_READY, "this instance still reads the journal"));
      return;
    }
    WorkKey key = submission.item().key();
    Optional<JournalEntry> known = journal.journal().find(key);
    if (known.isPresent()) {
      again(known.get(), submission, answer);
      return;
    }
    Accepted record = record(submission, false);
    withinWait(journal.append(record), record)
        .subscribe()
        .with(
            offset -> again(journal.journal().find(key).orElseThrow(), submission, answer),
            error -> answer.accept(unsettled(RefusalReason.LOG_SILENT, error.getMessage())));
  }

  private void again(JournalEntry entry, Submission submission, Consumer<WorkResult> answer) {
    JournalTask task = entry.tasks().get(0);
    AttemptKey next = new AttemptKey(entry.key(), 0, task.lastAttempt() + 1);
    AttemptKey last = new AttemptKey(entry.key(), 0, task.lastAttempt());
    if (runner.join(entry, next, answer) || runner.join(entry, last, answer)) {
      return;
    }
    if (entry.accepted().job()) {
      answer.accept(
          new WorkResult.Refused(
              new Refusal(RefusalReason.CANCELLED, "a job has this id already", 0)));
    } else if (task.outcome().isPresent()) {
      kept.fetch(last, task, body -> answer.accept(ranBefore(task.outcome().get(), body)));
    } else if (task.open().isPresent()) {
      answer.accept(
          new WorkResult.Answered(
              Outcome.UNKNOWN, "an earlier attempt may be running", new byte[0]));
    } else {
      runner.submit(
          entry,
          next,
          submission.item().deadlineMillis(),
          submission.item().firstTriedMillis(),
          submission.payload(),
          result -> attemptAnswered(entry, submission, result, answer));
    }
  }

  // An attempt that certainly did not start, since its worker changed hands or filled up in the
  // same moment, is no reason to send the caller away before its deadline. The next one may only go
  // out after the journal has closed this one, or it would find it open and not know its fate.
  private void attemptAnswered(
      JournalEntry entry, Submission submission, WorkResult result, Consumer<WorkResult> answer) {
    boolean notStarted =
        result.refusal().map(Refusal::reason).filter(RefusalReason.NO_ROOM::equals).isPresent();
    if (!notStarted || timers.nowMillis() >= submission.item().deadlineMillis()) {
      answer.accept(result);
      return;
    }
    timers.after(
        NEXT_ATTEMPT,
        () -> {
          boolean closed = entry.tasks().get(0).open().isEmpty();
          if (closed && hasReadAll()) {
            again(entry, submission, answer);
          } else {
            attemptAnswered(entry, submission, result, answer);
          }
        });
  }

  private static WorkResult ranBefore(Outcome outcome, Optional<byte[]> body) {
    String detail =
        body.isPresent() ? "" : "it ran before as " + outcome.text() + "; its answer is not kept";
    return new WorkResult.Answered(outcome, detail, body.orElse(new byte[0]));
  }

  private Uni<Long> withinWait(Uni<Long> appended, JournalRecord record) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              timers.after(
                  ACCEPT_WAIT,
                  () -> {
                    boolean takenBack = journal.takeBack(record);
                    emitter.fail(takenBack ? logSilent() : undecided());
                  });
              appended.subscribe().with(emitter::complete, error -> emitter.fail(logSilent()));
            });
  }

  private Uni<JobView> found(WorkKey key) {
    try {
      return Uni.createFrom().item(find(key));
    } catch (DeniedException denied) {
      return Uni.createFrom().failure(denied);
    }
  }

  // An earlier try may be in what the journal holds and was not read here.
  private static WorkResult unsettled(RefusalReason reason, String detail) {
    return new WorkResult.Unsettled(new Refusal(reason, detail, RETRY_AFTER_MILLIS));
  }

  private static DeniedException logSilent() {
    return new DeniedException(
        DenialKind.UNAVAILABLE,
        "the log does not answer; nothing was accepted by this call",
        RETRY_AFTER_MILLIS);
  }

  // The record may be in the log although nobody could read it back. "Not accepted" might be a lie.
  private static DeniedException undecided() {
    return new DeniedException(
        DenialKind.UNDECIDED, "the log was lost; ask after the job", RETRY_AFTER_MILLIS);
  }

  private Accepted record(Submission submission, boolean job) {
    WorkItem item = submission.item();
    return new Accepted(
        item.key().team(),
        item.key().requestId(),
        job,
        item.workClass().name(),
        item.name(),
        item.resources().milliProcessors(),
        item.resources().memoryMebibytes(),
        item.resources().accelerators(),
        item.tasks(),
        item.idempotent(),
        item.deadlineMillis() - timers.nowMillis(),
        item.expectedRunMillis(),
        job ? submission.payload() : new byte[0]);
  }

  private static JobView view(JournalEntry entry) {
    return new JobView(entry.key(), state(entry), entry.detail(), entry.offset());
  }

  private static String state(JournalEntry entry) {
    if (entry.isCancelled()) {
      return entry.hasEnded() ? "cancelled" : "stopping";
    }
    if (entry.outcome().isPresent()) {
      return entry.outcome().get().text().toLowerCase(Locale.ROOT);
    }
    return entry.hasOpenAttempt() ? "running" : "accepted";
  }
}
