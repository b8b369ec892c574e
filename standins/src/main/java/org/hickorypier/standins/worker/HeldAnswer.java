package org.hickorypier.standins.worker;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.standins.fault.Delays;

/**
 * One question for an answer, held until the task ends or the wait is over.
 *
 * <p>Thread safe. Exactly one of the two consumers is called, once; the answer is empty if the task
 * still runs.
 */
public final class HeldAnswer {

  /** Waits until the task ends, however long it takes. */
  public static final long FOREVER = Long.MAX_VALUE;

  private final InMemoryWorker worker;
  private final String taskId;
  private final Delays delays;
  private final Consumer<Optional<TaskAnswer>> found;
  private final Consumer<WorkerException> refused;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final Runnable watcher = this::check;
  private long deadlineMillis;

  /**
   * Creates the question.
   *
   * @param worker the worker
   * @param taskId the task
   * @param delays runs what comes later
   * @param found receives the answer, empty while the task runs
   * @param refused receives the refusal
   */
  public HeldAnswer(
      InMemoryWorker worker,
      String taskId,
      Delays delays,
      Consumer<Optional<TaskAnswer>> found,
      Consumer<WorkerException> refused) {
    this.worker = worker;
    this.taskId = taskId;
    this.delays = delays;
    this.found = found;
    this.refused = refused;
  }

  /**
   * Begins to wait.
   *
   * @param waitMillis how long to hold the call
   */
  public void begin(long waitMillis) {
    long now = worker.nowMillis();
    deadlineMillis = waitMillis > FOREVER - now ? FOREVER : now + waitMillis;
    try {
      worker.watch(taskId, watcher);
    } catch (WorkerException error) {
      refuse(error);
      return;
    }
    check();
  }

  private void check() {
    if (ended.get()) {
      return;
    }
    try {
      Optional<TaskAnswer> answer = worker.answer(taskId);
      long now = worker.nowMillis();
      if (answer.isPresent() || now >= deadlineMillis) {
        finish(answer);
        return;
      }
      long next = Math.min(worker.plannedEndMillis(taskId), deadlineMillis);
      delays.after(Math.max(1, next - now), watcher);
    } catch (WorkerException error) {
      refuse(error);
    }
  }

  private void finish(Optional<TaskAnswer> answer) {
    if (ended.compareAndSet(false, true)) {
      worker.unwatch(taskId, watcher);
      found.accept(answer);
    }
  }

  private void refuse(WorkerException error) {
    if (ended.compareAndSet(false, true)) {
      refused.accept(error);
    }
  }
}
