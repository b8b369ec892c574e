package org.hickorypier.daemon.permit;

import io.smallrye.mutiny.Uni;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.Team;
import org.hickorypier.core.fold.FoldResult;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.permits.Holder;
import org.hickorypier.core.permits.LocalPermits;
import org.hickorypier.core.permits.PermitSnapshots;
import org.hickorypier.core.permits.PermitState;
import org.hickorypier.core.permits.PlannedPermits;
import org.hickorypier.daemon.log.LogAppendException;
import org.hickorypier.daemon.log.LogAppender;
import org.hickorypier.daemon.log.LogConsumer;
import org.hickorypier.daemon.log.LogFollower;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.worker.TaskState;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.record.PermitRecord;
import org.hickorypier.wire.record.PermitRecord.AdoptedTasks;

/**
 * This instance's permits: it asks for them in the log, uses what it has read back, and speaks for
 * the workers that it controls.
 *
 * <p>Belongs to the control thread. Invariant: the decisions never have more permits of a team than
 * {@link LocalPermits#usable} says, plus the tasks that other instances' permits cover.
 */
public final class PermitService implements LogConsumer<PermitRecord> {

  private static final Logger LOGGER = System.getLogger(PermitService.class.getName());

  /** Between the events that plan at once, this brings back idle permits and follows digests. */
  private static final Duration PLAN_PERIOD = Duration.ofSeconds(1);

  /** An answer of the log that is overdue for so long is not about to come. */
  private static final long LOG_SILENT_MILLIS = 1_000;

  private final LocalPermits local;
  private final PermitWork work;
  private final TimerService timers;
  private final Executor control;
  private final Set<String> teams = new HashSet<>();
  private final Set<String> dirty = new HashSet<>();
  private final Set<String> withTasksOfOthers = new HashSet<>();
  private final Map<String, Long> pendingWords = new HashMap<>();
  private LogAppender<PermitRecord> appender;
  private LongConsumer seek = offset -> {};
  private LongSupplier logOverdueMillis = () -> 0;
  private Runnable fencedListener = () -> {};
  private boolean fenced;

  /**
   * Creates the service.
   *
   * @param self this instance
   * @param work the work that needs permits
   * @param timers the time
   * @param control the control thread
   */
  public PermitService(Holder self, PermitWork work, TimerService timers, Executor control) {
    this.local = new LocalPermits(self);
    this.work = work;
    this.timers = timers;
    this.control = control;
  }

  /**
   * Sets the stream. The appender must hear the follower after this service.
   *
   * @param log the appender
   * @param follower the follower, to read again after a snapshot
   */
  public void connect(LogAppender<PermitRecord> log, LogFollower<PermitRecord> follower) {
    appender = log;
    seek = follower::seek;
    logOverdueMillis = follower::millisOverdue;
  }

  /**
   * Sets who hears, once, that this instance has been fenced off. It gets no permits any more and
   * its word for a worker is refused, whatever it does.
   *
   * @param listener the listener
   */
  public void onFenced(Runnable listener) {
    fencedListener = listener;
  }

  /** Starts to plan regularly. */
  public void start() {
    timers.every(PLAN_PERIOD, () -> List.copyOf(teams).forEach(this::plan));
  }

  /**
   * Takes back what the decisions were given for tasks of other instances that have ended since. To
   * be called before anything is placed: whoever holds such a task's permit uses it again at once.
   */
  public void recount() {
    List.copyOf(withTasksOfOthers).forEach(this::use);
  }

  /**
   * Returns the permits of all as folded here.
   *
   * @return the state
   */
  public PermitState state() {
    return local.state();
  }

  /**
   * Takes in the limits of a new configuration.
   *
   * @param configuration the configuration
   */
  public void onConfiguration(Configuration configuration) {
    for (Team team : configuration.teams().values()) {
      teams.add(team.name());
      local.putTeam(team.name(), team.revision(), team.upperLimit(), timers.nowMillis());
      planSoon(team.name());
    }
  }

  /**
   * Plans a team's permits after the present event, for instance since work of it waits.
   *
   * @param team the team
   */
  public void planSoon(String team) {
    if (dirty.isEmpty()) {
      control.execute(this::planDirty);
    }
    dirty.add(team);
  }

  /**
   * Tells whether tasks may start on a worker.
   *
   * @param worker the worker
   * @param token our control token
   * @return true if our word for it has been folded
   */
  public boolean mayStartOn(String worker, long token) {
    return local.mayStartOn(worker, token);
  }

  /**
   * Tells whether this instance's permits cover an owner's tasks on a worker.
   *
   * @param worker the worker
   * @param owner the controller that started them
   * @return true if they count as ours
   */
  public boolean covers(String worker, String owner) {
    return Holders.of(owner).map(known -> local.covers(worker, known)).orElse(false);
  }

  /**
   * Speaks for a worker that we control, if it was not done or if an owner there has been fenced
   * off since.
   *
   * @param worker the worker
   * @param token our control token
   * @param tasks what the worker runs
   */
  public void speakFor(String worker, long token, List<TaskStatus> tasks) {
    List<AdoptedTasks> adopted = tasksOfFenced(worker, tasks);
    boolean spoken = local.mayStartOn(worker, token);
    boolean pending = Long.valueOf(token).equals(pendingWords.get(worker));
    if (pending || spoken && adopted.isEmpty()) {
      return;
    }
    pendingWords.put(worker, token);
    append(local.createAdoption(worker, token, adopted));
  }

  /**
   * Makes and appends the record that fences a lost holder off.
   *
   * @param gone the holder
   */
  public void fence(Holder gone) {
    append(local.createFence(gone));
  }

  /**
   * Publishes a snapshot of the permits of all.
   *
   * @param instance the instance that publishes it
   * @return the offset at which it was read back
   */
  public Uni<Long> publishSnapshot(String instance) {
    return appender.append(
        PermitSnapshots.write(instance + "/" + local.state().offset(), local.state()));
  }

  /**
   * Appends a record.
   *
   * @param record the record
   */
  public void append(PermitRecord record) {
    appender
        .append(record)
        .subscribe()
        .with(offset -> {}, error -> control.execute(() -> failed(record, error)));
  }

  @Override
  public void onRecord(long offset, PermitRecord record) {
    FoldResult<PermitState> result = local.fold(offset, record);
    if (result.verdict() == Verdict.CONFLICT || result.verdict() == Verdict.GAP) {
      LOGGER.log(Level.INFO, "permits: offset {0}: {1}", offset, result.reason());
    }
    if (record instanceof PermitRecord.Snapshot && result.verdict() == Verdict.APPLIED) {
      seek.accept(local.state().offset() + 1);
    }
    noteFence();
    if (record instanceof PermitRecord.Adopt word) {
      spoken(word);
    }
    if (record instanceof PermitRecord.Hold hold) {
      use(hold.team());
    } else if (record instanceof PermitRecord.Limit limit) {
      use(limit.team());
    } else {
      List.copyOf(teams).forEach(this::use);
    }
  }

  @Override
  public void onUnreadable(long offset, byte[] data, UndecodableException reason) {
    LOGGER.log(Level.WARNING, "permits: offset {0} cannot be read, passed over", offset);
    local.skipRecord(offset);
  }

  private void noteFence() {
    if (!fenced && local.isFenced()) {
      fenced = true;
      LOGGER.log(Level.WARNING, "permits: this instance has been fenced off");
      fencedListener.run();
    }
  }

  private void spoken(PermitRecord.Adopt word) {
    Long pending = pendingWords.get(word.worker());
    if (pending != null && pending == word.token()) {
      pendingWords.remove(word.worker());
    }
    if (local.mayStartOn(word.worker(), word.token())) {
      work.mayStartOn(word.worker());
    }
  }

  private void failed(PermitRecord record, Throwable error) {
    LOGGER.log(Level.DEBUG, "permits: not appended: {0}", error.getMessage());
    boolean neverSent =
        error instanceof LogAppendException known
            && known.fate() == LogAppendException.Fate.NOT_APPENDED;
    if (neverSent) {
      local.onRecordNotAppended(record);
    }
    if (record instanceof PermitRecord.Adopt word) {
      pendingWords.remove(word.worker());
    }
  }

  private void planDirty() {
    List<String> toPlan = new ArrayList<>(dirty);
    dirty.clear();
    toPlan.forEach(this::plan);
  }

  // While the log is silent nothing is asked for. A request for fewer permits binds from the moment
  // of asking, whether it arrives or not; an instance that gave idle permits up in an outage could
  // start nothing until its end.
  private void plan(String team) {
    if (logOverdueMillis.getAsLong() > LOG_SILENT_MILLIS) {
      use(team);
      return;
    }
    PlannedPermits planned =
        local.plan(team, work.demand(team), work.others(team), timers.nowMillis());
    planned.records().forEach(this::append);
    use(team);
  }

  private void use(String team) {
    int covered = work.coveredElsewhere(team);
    if (covered > 0) {
      withTasksOfOthers.add(team);
    } else {
      withTasksOfOthers.remove(team);
    }
    work.use(team, local.usable(team) + covered);
  }

  private List<AdoptedTasks> tasksOfFenced(String worker, List<TaskStatus> tasks) {
    Map<Holder, Map<String, Integer>> counts = new TreeMap<>();
    for (TaskStatus task : tasks) {
      if (task.state() == TaskState.RUNNING) {
        Holders.of(task.owner())
            .filter(owner -> isFenced(worker, owner))
            .ifPresent(
                owner ->
                    counts
                        .computeIfAbsent(owner, unseen -> new TreeMap<>())
                        .merge(TaskId.parse(task.taskId()).key().team(), 1, Integer::sum));
      }
    }
    List<AdoptedTasks> adopted = new ArrayList<>();
    counts.forEach(
        (owner, byTeam) ->
            byTeam.forEach(
                (team, count) ->
                    adopted.add(
                        new AdoptedTasks(team, owner.instance(), owner.incarnation(), count))));
    return adopted;
  }

  private boolean isFenced(String worker, Holder owner) {
    return local.state().isFenced(local.state().worker(worker).holderOf(owner));
  }
}
