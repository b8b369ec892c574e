package org.hickorypier.daemon.job;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.journal.JournalEntry;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.Placement;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.AttemptGate;
import org.hickorypier.daemon.worker.ControlGrant;
import org.hickorypier.daemon.worker.WorkerFleet;
import org.hickorypier.wire.record.JournalRecord;
import org.hickorypier.wire.record.JournalRecord.Attempt;
import org.hickorypier.wire.record.JournalRecord.AttemptVoid;

/**
 * Journals the attempts of journaled work before they start.
 *
 * <p>Belongs to the control thread. Failure prevented: the home dies, or is paused, between its
 * decision and the start. With the attempt in the journal a new home knows on which worker to look,
 * and it cannot start the work itself while that attempt is open. The start is ordered only after
 * the fold has taken the attempt, so of two homes only one goes on.
 */
public final class AttemptRecorder implements AttemptGate {

  /**
   * The longest wait for the log. A placement holds room on its worker meanwhile; in an outage of
   * the log, journaled work would otherwise fill every worker without running.
   */
  private static final Duration LOG_WAIT = Duration.ofSeconds(5);

  private final JournalService journal;
  private final WorkerFleet fleet;
  private final TimerService timers;
  private final Executor control;
  private final String self;
  private final Map<WorkKey, List<Attempt>> taken = new HashMap<>();

  /**
   * Creates a recorder.
   *
   * @param journal the journal
   * @param fleet the workers
   * @param timers the time
   * @param control the control thread
   * @param self this instance's name and incarnation
   */
  public AttemptRecorder(
      JournalService journal,
      WorkerFleet fleet,
      TimerService timers,
      Executor control,
      String self) {
    this.journal = journal;
    this.fleet = fleet;
    this.timers = timers;
    this.control = control;
    this.self = self;
  }

  @Override
  public void requestStart(Placement placement, Consumer<Boolean> verdict) {
    Optional<AttemptKey> key = AttemptKey.parse(placement.item().key());
    if (key.isEmpty()) {
      verdict.accept(true);
      return;
    }
    Optional<List<Attempt>> attempts = attempts(key.get(), placement.tasks());
    if (attempts.isEmpty()) {
      verdict.accept(false);
      return;
    }
    new OpenRequest(placement.item().key(), attempts.get(), verdict).start();
  }

  /**
   * Hands over the attempts that were taken under a key. The caller settles them in the journal.
   *
   * @param key the key of the attempt
   * @return the attempts, empty if none was taken
   */
  public List<Attempt> release(WorkKey key) {
    List<Attempt> attempts = taken.remove(key);
    return attempts == null ? List.of() : attempts;
  }

  private Optional<List<Attempt>> attempts(AttemptKey key, List<PlacedTask> tasks) {
    Optional<JournalEntry> entry = journal.journal().find(key.work());
    List<Attempt> attempts = new ArrayList<>();
    for (PlacedTask task : tasks) {
      Optional<ControlGrant> hold = fleet.controlGrant(task.worker());
      int index = key.index() == AttemptKey.WHOLE_GANG ? task.taskId().index() : key.index();
      if (entry.isEmpty() || hold.isEmpty() || index >= entry.get().tasks().size()) {
        return Optional.empty();
      }
      attempts.add(
          new Attempt(
              key.work().team(),
              key.work().requestId(),
              index,
              key.attempt(),
              self,
              task.worker(),
              hold.get().token()));
    }
    return Optional.of(attempts);
  }

  private void closeUnused(Attempt attempt) {
    if (journal.journal().isOpen(attempt)) {
      append(
          new AttemptVoid(attempt.team(), attempt.requestId(), attempt.index(), attempt.attempt()));
    }
  }

  private void append(JournalRecord record) {
    journal.append(record).subscribe().with(offset -> {}, error -> {});
  }

  /** One request for leave to start, until it is answered. */
  private final class OpenRequest {

    private final WorkKey key;
    private final List<Attempt> attempts;
    private final Consumer<Boolean> verdict;
    private boolean answered;

    OpenRequest(WorkKey key, List<Attempt> attempts, Consumer<Boolean> verdict) {
      this.key = key;
      this.attempts = attempts;
      this.verdict = verdict;
    }

    void start() {
      List<Uni<Long>> appends = new ArrayList<>();
      attempts.forEach(attempt -> appends.add(journal.append(attempt)));
      timers.after(LOG_WAIT, () -> answer(false));
      Uni.join()
          .all(appends)
          .andCollectFailures()
          .subscribe()
          .with(
              offsets -> control.execute(this::readBack),
              error -> control.execute(() -> answer(false)));
    }

    private void readBack() {
      boolean allOpen = attempts.stream().allMatch(journal.journal()::isOpen);
      if (answered || !allOpen) {
        // Given up on meanwhile, or only some were taken: none was or will be ordered.
        attempts.forEach(AttemptRecorder.this::closeUnused);
      }
      answer(allOpen);
    }

    private void answer(boolean go) {
      if (answered) {
        return;
      }
      answered = true;
      if (go) {
        taken.put(key, attempts);
      } else {
        attempts.forEach(journal::takeBack);
      }
      verdict.accept(go);
    }
  }
}
