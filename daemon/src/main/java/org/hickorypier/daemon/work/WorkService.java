package org.hickorypier.daemon.work;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongPredicate;
import org.hickorypier.core.journal.AttemptKey;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.core.scheduling.GivenUp;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.Placement;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.core.scheduling.TaskEnd;
import org.hickorypier.daemon.time.TimerService;

/**
 * Processes work that is scheduled at this instance, from deduplication to the final answer.
 *
 * <p>Confined to the control thread. Invariants: a key is either unknown, queued, running or
 * answered here; a second submission of a key joins the first; every submission gets exactly one
 * final answer.
 */
public final class WorkService implements TaskListener {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Leaves a peer time to obtain permits from the log, which takes some tens of milliseconds. */
  private static final Duration RETURN_TIMEOUT = Duration.ofMillis(250);

  /** Refusals after which the work has not run at the peer and is queued at its home again. */
  private static final Set<RefusalReason> RETURN_REASONS =
      Set.of(
          RefusalReason.NO_ROOM,
          RefusalReason.QUEUE_FULL,
          RefusalReason.DEADLINE_TOO_NEAR,
          RefusalReason.NOT_READY,
          RefusalReason.SHUTTING_DOWN);

  private static final Duration OVERLONG_CHECK_INTERVAL = Duration.ofSeconds(5);

  private final WorkSettings settings;
  private final Scheduler scheduler;
  private final TimerService timers;
  private final Executor control;
  private final AttemptGate gate;
  private final WorkObserver observer;
  private final AnswerCache answers;
  private final RecentRequests recentRequests;
  private final EndedForeignTasks endedForeignTasks;
  private final Map<WorkKey, WorkEntry> entries = new HashMap<>();
  private Dispatcher dispatcher;
  private Runnable beforePlacing = () -> {};
  private LongPredicate soleHomeSince = since -> true;
  private boolean placing;

  /**
   * Creates a service without work.
   *
   * @param settings its limits
   * @param scheduler queues and places the work
   * @param timers the clock and timers
   * @param control the control thread
   * @param gate decides when a placement may start
   * @param observer is notified of the progress of work
   */
  public WorkService(
      WorkSettings settings,
      Scheduler scheduler,
      TimerService timers,
      Executor control,
      AttemptGate gate,
      WorkObserver observer) {
    this.settings = settings;
    this.scheduler = scheduler;
    this.timers = timers;
    this.control = control;
    this.gate = gate;
    this.observer = observer;
    this.answers = new AnswerCache(settings.answerRetentionMillis(), settings.answerCacheBytes());
    this.endedForeignTasks =
        new EndedForeignTasks(settings.answerRetentionMillis(), settings.recentRequestsLimit());
    this.recentRequests =
        new RecentRequests(settings.answerRetentionMillis(), settings.recentRequestsLimit());
  }

  /**
   * Starts the periodic checks of queued and running work.
   *
   * @param taskDispatcher starts the tasks and reports to this service
   */
  public void start(Dispatcher taskDispatcher) {
    dispatcher = taskDispatcher;
    timers.every(Duration.ofMillis(settings.queueCheckMillis()), this::checkQueue);
    timers.every(OVERLONG_CHECK_INTERVAL, this::stopOverlong);
  }

  /**
   * Sets the action that runs each time before work is placed.
   *
   * @param action updates the permits
   */
  public void beforePlacing(Runnable action) {
    beforePlacing = action;
  }

  /**
   * Sets the check that no other instance can have become home of this instance's work unnoticed
   * since a given time. If the check fails, a refusal does not prove that the work was not run.
   *
   * @param check receives the time in milliseconds
   */
  public void soleHomeSince(LongPredicate check) {
    soleHomeSince = check;
  }

  /**
   * Accepts work, or joins it to an earlier submission of the same key.
   *
   * @param submission the work
   * @param answer receives the final answer on the control thread
   */
  public void submit(Submission submission, Consumer<WorkResult> answer) {
    WorkKey key = submission.item().key();
    if (join(submission, answer)) {
      return;
    }
    boolean mayHaveRun = recentRequests.mayHaveRun(key, timers.nowMillis());
    WorkEntry entry = new WorkEntry(mayHaveRun ? submission.withPossibleEarlierRun() : submission);
    entries.put(key, entry);
    entry.addWaiter(answer);
    enqueue(entry);
    placeQueuedWork();
  }

  /**
   * Joins work that is queued or running here, or was recently answered here.
   *
   * @param submission the work
   * @param answer receives the final answer on the control thread
   * @return false if the key is not known here, so that there is nothing to join
   */
  public boolean join(Submission submission, Consumer<WorkResult> answer) {
    WorkKey key = submission.item().key();
    Optional<WorkResult> known = answers.find(key, timers.nowMillis());
    if (known.isPresent()) {
      answer.accept(known.get());
      return true;
    }
    WorkEntry entry = entries.get(key);
    if (entry == null) {
      return joinEndedForeignTask(submission, answer);
    }
    entry.addWaiter(answer);
    return true;
  }

  private boolean joinEndedForeignTask(Submission submission, Consumer<WorkResult> answer) {
    long now = timers.nowMillis();
    Optional<PlacedTask> ended = endedForeignTasks.remove(submission.item().key(), now);
    ended.ifPresent(
        task -> {
          WorkEntry entry = new WorkEntry(submission.withPossibleEarlierRun());
          entries.put(submission.item().key(), entry);
          entry.addWaiter(answer);
          entry.recordPlacement(List.of(task), now);
          entry.recordStart();
          dispatcher.adopt(task);
        });
    return ended.isPresent();
  }

  /**
   * Accepts work that its home has sent here. It is refused with {@link RefusalReason#NO_ROOM} if
   * it is still queued after a short time, and is never forwarded.
   *
   * @param submission the work
   * @param answer receives the final answer on the control thread
   */
  public void submitFromHome(Submission submission, Consumer<WorkResult> answer) {
    WorkKey key = submission.item().key();
    boolean known = knows(key);
    submit(submission, answer);
    WorkEntry entry = entries.get(key);
    if (known || entry == null) {
      return;
    }
    entry.setMovable(false);
    timers.after(RETURN_TIMEOUT, () -> returnIfQueued(entry));
  }

  private void returnIfQueued(WorkEntry entry) {
    if (entry.isQueued() && scheduler.cancelQueued(entry.item().key())) {
      refuse(entry, new Refusal(RefusalReason.NO_ROOM, "no capacity at this instance", 0));
    }
  }

  /**
   * Sends queued work to another instance. Work that the peer refuses without running it is queued
   * here again.
   *
   * @param key the work
   * @param send sends the work and returns its result
   * @return false if the work is not queued here or may not be moved
   */
  public boolean moveToPeer(WorkKey key, Function<Submission, Uni<WorkResult>> send) {
    WorkEntry entry = entries.get(key);
    if (entry == null || !entry.isMovable() || !scheduler.cancelQueued(key)) {
      return false;
    }
    entry.setQueued(false);
    send.apply(entry.submission())
        .subscribe()
        .with(result -> control.execute(() -> handleMoveResult(entry, result)));
    return true;
  }

  private void handleMoveResult(WorkEntry entry, WorkResult result) {
    boolean returned =
        result.refusal().map(refusal -> RETURN_REASONS.contains(refusal.reason())).orElse(false);
    if (returned && entry.isCancelled()) {
      refuse(entry, new Refusal(RefusalReason.CANCELLED, "cancelled while it waited", 0));
    } else if (returned) {
      enqueue(entry);
      placeQueuedWork();
    } else {
      finish(entry, result);
    }
  }

  /**
   * Adopts a task that was found running on a worker after a takeover.
   *
   * @param task the task
   * @param item the work that the task belongs to, as far as it is known
   */
  public void adopt(PlacedTask task, WorkItem item) {
    if (dispatcher.isFollowed(task.taskId())) {
      return;
    }
    long now = timers.nowMillis();
    scheduler.adopt(task.taskId(), task.worker(), task.workClass(), task.reserved(), now);
    WorkEntry entry =
        entries.computeIfAbsent(
            item.key(), key -> new WorkEntry(new Submission(item, TaskReport.NO_BODY)));
    List<PlacedTask> live = new ArrayList<>(entry.liveTasks());
    live.add(task);
    entry.recordPlacement(live, now);
    entry.recordStart();
    dispatcher.adopt(task);
  }

  /**
   * Records a request that another instance ran and that was found on a worker after its end. Its
   * answer is fetched from the worker when the request is repeated.
   *
   * @param task the task
   */
  public void recordEndedForeignTask(PlacedTask task) {
    WorkKey key = task.taskId().key();
    boolean isRequest = task.workClass().isSynchronous() && AttemptKey.parse(key).isEmpty();
    if (isRequest && !entries.containsKey(key)) {
      endedForeignTasks.put(task, timers.nowMillis());
    }
  }

  /**
   * Cancels queued or running work. Idempotent.
   *
   * @param key the work
   * @param detail a message for the caller
   * @return false if the work is not known here or has its answer already
   */
  public boolean cancel(WorkKey key, String detail) {
    WorkEntry entry = entries.get(key);
    if (entry == null || entry.isFinished()) {
      return false;
    }
    entry.markCancelled();
    if (scheduler.cancelQueued(key)) {
      refuse(entry, new Refusal(RefusalReason.CANCELLED, detail, 0));
    } else {
      entry.liveTasks().forEach(task -> dispatcher.stop(task.taskId(), false));
    }
    return true;
  }

  /**
   * Refuses all queued work, because a fenced instance cannot start tasks any more. Other instances
   * may have become home of the work meanwhile and may have run it, so its outcome is unknown.
   */
  public void refuseQueuedWork() {
    for (WorkEntry entry : List.copyOf(entries.values())) {
      if (entry.isQueued() && scheduler.cancelQueued(entry.item().key())) {
        String detail = "this instance was fenced off and restarts";
        finish(
            entry,
            new WorkResult.Unsettled(
                new Refusal(RefusalReason.NOT_READY, detail, RETRY_AFTER_MILLIS)));
      }
    }
  }

  /**
   * Returns the number of synchronous requests without a final answer. Jobs are not counted: they
   * outlive an instance, and a shutdown that waited for a service would never end.
   *
   * @return the number of queued and running requests
   */
  public long openRequests() {
    return entries.values().stream()
        .filter(entry -> entry.item().workClass().isSynchronous())
        .count();
  }

  /**
   * Returns whether work is queued or running here, or was recently answered here.
   *
   * @param key the work
   * @return true if a submission would join it
   */
  public boolean knows(WorkKey key) {
    long now = timers.nowMillis();
    return entries.containsKey(key)
        || answers.find(key, now).isPresent()
        || endedForeignTasks.contains(key, now);
  }

  /**
   * Returns whether work was certainly not accepted here within the time in which callers repeat
   * requests.
   *
   * @param key the work
   * @return false if it was accepted, or if its entry may have been evicted by later requests
   */
  public boolean wasNeverTaken(WorkKey key) {
    return !knows(key) && !recentRequests.mayHaveRun(key, timers.nowMillis());
  }

  /** Places queued work where possible. Called whenever capacity, permits or work are added. */
  public void placeQueuedWork() {
    if (placing || dispatcher == null) {
      return;
    }
    placing = true;
    try {
      beforePlacing.run();
      List<Placement> placements = scheduler.place(timers.nowMillis());
      placements.forEach(this::requestStart);
    } finally {
      placing = false;
    }
  }

  // A request that never ends would hold a slot, its caller and its home. Homes query former homes
  // only as far back as a request can run, so this limit also keeps repeated requests from running
  // twice.
  private void stopOverlong() {
    long oldestStart = timers.nowMillis() - settings.longestRunMillis();
    for (WorkEntry entry : entries.values()) {
      boolean overlong = entry.hasStarted() && entry.placedMillis() < oldestStart;
      if (overlong && entry.item().workClass().isSynchronous()) {
        entry.liveTasks().forEach(task -> dispatcher.stop(task.taskId(), false));
      }
    }
  }

  private void checkQueue() {
    for (GivenUp givenUp : scheduler.expire(timers.nowMillis())) {
      WorkEntry entry = entries.get(givenUp.item().key());
      if (entry != null) {
        refuse(entry, givenUp.refusal());
      }
    }
    placeQueuedWork();
  }

  private void enqueue(WorkEntry entry) {
    Optional<Refusal> refusal = scheduler.submit(entry.item(), timers.nowMillis());
    entry.setQueued(refusal.isEmpty());
    if (refusal.isEmpty()) {
      observer.onQueued(entry.item());
    } else {
      refuse(entry, refusal.get());
    }
  }

  private void requestStart(Placement placement) {
    WorkEntry entry = entries.get(placement.item().key());
    entry.recordPlacement(placement.tasks(), timers.nowMillis());
    gate.requestStart(placement, taken -> handleStartDecision(entry, placement, taken));
  }

  private void handleStartDecision(WorkEntry entry, Placement placement, boolean taken) {
    if (taken && !entry.isCancelled()) {
      placement.tasks().forEach(task -> dispatcher.start(task, entry.submission().payload()));
      return;
    }
    String detail =
        taken ? "cancelled before it started" : "the attempt was not confirmed as taken";
    for (PlacedTask task : placement.tasks()) {
      onEnded(task.taskId(), TaskReport.withoutBody(TaskEnd.NOT_STARTED, detail));
    }
  }

  @Override
  public void onStarted(TaskId taskId) {
    WorkEntry entry = entries.get(taskId.key());
    if (entry == null) {
      return;
    }
    if (!entry.hasStarted()) {
      observer.onStarted(entry.item(), timers.nowMillis() - entry.item().submittedMillis());
    }
    entry.recordStart();
  }

  @Override
  public void onEnded(TaskId taskId, TaskReport report) {
    scheduler.taskEnded(taskId, report.end(), timers.nowMillis());
    WorkEntry entry = entries.get(taskId.key());
    if (entry != null) {
      boolean allEnded = entry.recordEnd(taskId, report);
      if (allEnded) {
        conclude(entry);
      } else if (report.end() != TaskEnd.COMPLETED && entry.item().workClass() == WorkClass.GANG) {
        stopRemainingTasks(entry);
      }
    }
    placeQueuedWork();
  }

  // The tasks of a gang wait for each other. After one has ended without completing, the others
  // would hold their reservations for ever.
  private void stopRemainingTasks(WorkEntry entry) {
    entry.liveTasks().forEach(task -> dispatcher.stop(task.taskId(), false));
  }

  private void conclude(WorkEntry entry) {
    List<TaskReport> reports = entry.reports();
    if (allEndedAs(reports, TaskEnd.COMPLETED)) {
      answer(entry, Outcome.COMPLETED, "", reports.get(0).body());
    } else if (anyEndedAs(reports, TaskEnd.FAILED)) {
      TaskReport failed = firstEndedAs(reports, TaskEnd.FAILED);
      answer(entry, Outcome.FAILED, failed.detail(), failed.body());
    } else if (allEndedAs(reports, TaskEnd.NOT_STARTED)) {
      retryOrRefuse(entry, reports.get(0).detail());
    } else if (entry.isCancelled()) {
      answer(entry, Outcome.FAILED, "cancelled while it ran", TaskReport.NO_BODY);
    } else if (entry.item().idempotent() && canRetry(entry)) {
      retry(entry);
    } else {
      answer(entry, Outcome.UNKNOWN, reports.get(0).detail(), TaskReport.NO_BODY);
    }
  }

  private void retryOrRefuse(WorkEntry entry, String detail) {
    if (entry.isCancelled()) {
      refuse(entry, new Refusal(RefusalReason.CANCELLED, detail, 0));
    } else if (canRetry(entry)) {
      retry(entry);
    } else {
      // For journaled work only this attempt has ended; the journal decides on the next one.
      RefusalReason reason =
          entry.submission().isJournaled() ? RefusalReason.NO_ROOM : RefusalReason.DEADLINE_PASSED;
      refuse(entry, new Refusal(reason, detail, RETRY_AFTER_MILLIS));
    }
  }

  private boolean canRetry(WorkEntry entry) {
    return entry.retries() < settings.retryLimit()
        && !entry.submission().isJournaled()
        && !entry.isCancelled()
        && timers.nowMillis() < entry.item().deadlineMillis();
  }

  private void retry(WorkEntry entry) {
    entry.countRetry();
    enqueue(entry);
  }

  private static boolean allEndedAs(List<TaskReport> reports, TaskEnd end) {
    return reports.stream().allMatch(report -> report.end() == end);
  }

  private static boolean anyEndedAs(List<TaskReport> reports, TaskEnd end) {
    return reports.stream().anyMatch(report -> report.end() == end);
  }

  private static TaskReport firstEndedAs(List<TaskReport> reports, TaskEnd end) {
    return reports.stream().filter(report -> report.end() == end).findFirst().orElseThrow();
  }

  private void answer(WorkEntry entry, Outcome outcome, String detail, byte[] body) {
    finish(entry, new WorkResult.Answered(outcome, detail, body));
  }

  private void refuse(WorkEntry entry, Refusal refusal) {
    boolean certain = !entry.mayHaveRun() && soleHomeSince.test(entry.item().submittedMillis());
    finish(entry, certain ? new WorkResult.Refused(refusal) : new WorkResult.Unsettled(refusal));
  }

  private void finish(WorkEntry entry, WorkResult result) {
    long now = timers.nowMillis();
    entries.remove(entry.item().key());
    // A refusal is not cached: the work has not run, and the caller may retry with the same id. An
    // unknown outcome of idempotent work is not cached either, because the work may run again.
    boolean isOpenToRetry = result.outcome() == Outcome.UNKNOWN && entry.item().idempotent();
    boolean isAnswer = result instanceof WorkResult.Answered && !isOpenToRetry;
    if (isAnswer && entry.item().workClass().isSynchronous()) {
      answers.put(entry.item().key(), result, now);
    }
    if (entry.item().workClass().isSynchronous() && !entry.submission().isJournaled()) {
      boolean mayHaveRun = !(result instanceof WorkResult.Refused);
      recentRequests.recordEnd(entry.item().key(), mayHaveRun, now);
    }
    observer.onFinished(entry.item(), result, now - entry.item().submittedMillis());
    entry.finish(result);
  }
}
