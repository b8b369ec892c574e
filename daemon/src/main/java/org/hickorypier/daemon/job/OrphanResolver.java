package org.hickorypier.daemon.job;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.hickorypier.core.journal.JournalEntry;
import org.hickorypier.core.journal.OpenAttempt;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.worker.WorkerFleet;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.wire.record.JournalRecord;
import org.hickorypier.wire.record.JournalRecord.AttemptVoid;
import org.hickorypier.wire.record.JournalRecord.Ended;

/**
 * Finds out what became of attempts whose owner is gone.
 *
 * <p>Belongs to the control thread. Nothing is attempted again before the worker has said that the
 * attempt neither runs nor can start, or before every lease on a silent worker has run out. What a
 * worker no longer knows may have run there before it restarted; work that is not idempotent then
 * ends as unknown.
 */
public final class OrphanResolver {

  private static final Logger LOGGER = System.getLogger(OrphanResolver.class.getName());

  private final JournalService journal;
  private final WorkerFleet fleet;
  private final TimerService timers;
  private final Executor control;
  private final long leasesMillis;
  private final Set<String> asking = new HashSet<>();
  private final Map<String, Long> silentSince = new HashMap<>();

  /**
   * Creates a resolver.
   *
   * @param journal the journal
   * @param fleet the workers
   * @param timers the time
   * @param control the control thread
   * @param leasesMillis after this time without a word from a worker nothing runs there any more
   */
  public OrphanResolver(
      JournalService journal,
      WorkerFleet fleet,
      TimerService timers,
      Executor control,
      long leasesMillis) {
    this.journal = journal;
    this.fleet = fleet;
    this.timers = timers;
    this.control = control;
    this.leasesMillis = leasesMillis;
  }

  /**
   * Asks after one attempt, unless a question is under way.
   *
   * @param entry the work
   * @param index the task
   * @param open the attempt
   * @param taskId the id under which the worker knows the task
   */
  public void resolve(JournalEntry entry, int index, OpenAttempt open, TaskId taskId) {
    Orphan orphan = new Orphan(entry, index, open);
    if (!asking.add(orphan.name())) {
      return;
    }
    Optional<WorkerService> worker = fleet.service(open.worker());
    if (worker.isEmpty()) {
      asking.remove(orphan.name());
      silent(orphan);
      return;
    }
    worker
        .get()
        .task(taskId.text())
        .subscribe()
        .with(
            status ->
                control.execute(
                    () -> {
                      asking.remove(orphan.name());
                      silentSince.remove(orphan.name());
                      answered(orphan, status);
                    }),
            error ->
                control.execute(
                    () -> {
                      asking.remove(orphan.name());
                      silent(orphan);
                    }));
  }

  private void answered(Orphan orphan, TaskStatus status) {
    switch (status.state()) {
      case RUNNING -> {}
      case COMPLETED -> end(orphan, Outcome.COMPLETED, "");
      case FAILED -> end(orphan, Outcome.FAILED, "the task failed");
      case STOPPED -> end(orphan, Outcome.FAILED, "the task was stopped");
      case LAPSED -> end(orphan, Outcome.UNKNOWN, "the task's lease ran out");
      case UNKNOWN -> unknownToWorker(orphan, status);
      default -> throw new IllegalStateException("task state " + status.state());
    }
  }

  private void unknownToWorker(Orphan orphan, TaskStatus status) {
    if (status.token() <= orphan.open().token()) {
      // The owner's order may still be under way. The worker's next controller raises the token.
      return;
    }
    if (orphan.entry().accepted().idempotent()) {
      append(
          new AttemptVoid(
              orphan.entry().key().team(),
              orphan.entry().key().requestId(),
              orphan.index(),
              orphan.open().attempt()));
    } else {
      end(orphan, Outcome.UNKNOWN, "its instance was lost and its worker does not know it");
    }
  }

  private void silent(Orphan orphan) {
    long now = timers.nowMillis();
    long since = silentSince.computeIfAbsent(orphan.name(), name -> now);
    if (now - since > leasesMillis) {
      silentSince.remove(orphan.name());
      end(orphan, Outcome.UNKNOWN, "its instance and its worker were lost");
    }
  }

  private void end(Orphan orphan, Outcome outcome, String detail) {
    LOGGER.log(
        Level.INFO,
        "job: {0} ended as {1} after its owner was lost",
        orphan.name(),
        outcome.text());
    append(
        new Ended(
            orphan.entry().key().team(),
            orphan.entry().key().requestId(),
            orphan.index(),
            orphan.open().attempt(),
            outcome.name(),
            detail));
  }

  private void append(JournalRecord record) {
    journal.append(record).subscribe().with(offset -> {}, error -> {});
  }

  private record Orphan(JournalEntry entry, int index, OpenAttempt open) {
    String name() {
      return entry.key() + "/" + index + "/" + open.attempt();
    }
  }
}
