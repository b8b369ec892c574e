package org.hickorypier.daemon.job;

import io.smallrye.mutiny.Uni;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.journal.JournalTask;
import org.hickorypier.daemon.worker.WorkerFleet;
import org.hickorypier.platform.worker.WorkerService;

/**
 * Fetches the answer of a request that has run, from the worker that still holds it.
 *
 * <p>Belongs to the control thread. Failure: the instance that ran a request is lost with its
 * answer, and the caller comes back through another. The request must not run again, and "it
 * completed" without its answer is not the whole answer; the worker keeps it for a while.
 */
public final class KeptAnswers {

  private static final Duration WAIT = Duration.ofSeconds(3);

  private final WorkerFleet fleet;
  private final Executor control;

  /**
   * Creates it.
   *
   * @param fleet the workers
   * @param control the control thread
   */
  public KeptAnswers(WorkerFleet fleet, Executor control) {
    this.fleet = fleet;
    this.control = control;
  }

  void fetch(AttemptKey attempt, JournalTask task, Consumer<Optional<byte[]>> answer) {
    Optional<WorkerService> worker = fleet.service(task.lastWorker());
    if (worker.isEmpty()) {
      answer.accept(Optional.empty());
      return;
    }
    Uni<byte[]> whole =
        worker
            .get()
            .answer(attempt.taskId(0).text())
            .collect()
            .in(ByteArrayOutputStream::new, ByteArrayOutputStream::writeBytes)
            .map(ByteArrayOutputStream::toByteArray);
    whole
        .ifNoItem()
        .after(WAIT)
        .fail()
        .subscribe()
        .with(
            body -> control.execute(() -> answer.accept(Optional.of(body))),
            error -> control.execute(() -> answer.accept(Optional.empty())));
  }
}
