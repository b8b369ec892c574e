package org.hickorypier.daemon.worker;

import io.smallrye.mutiny.Uni;
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
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.instance.InstanceKind;
import org.hickorypier.platform.instance.InstanceState;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.platform.worker.WorkerErrorKind;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.platform.worker.WorkerStatus;

/**
 * The listed workers. Claims, renews and releases this instance's control of them.
 *
 * <p>Confined to the control thread. Invariants: a worker is claimed only with the last observed
 * token, and only if no other live instance controls it or its controller offers it; a worker is
 * reported lost only after every lease that this instance can have renewed there has expired.
 */
public final class WorkerFleet {

  private static final Logger LOGGER = System.getLogger(WorkerFleet.class.getName());

  // A single lost packet must not close a worker, but a dead worker must not receive start requests
  // for long. Two missed renewals are detected within a few seconds, well within a lease.
  private static final int FAILURES_BEFORE_CLOSED = 2;

  // The workers of a failed instance get no work until another instance checks them. A check every
  // second costs one status query for each worker that changes its controller; renewals have their
  // own, longer period.
  private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

  private final WorkerLeaseSettings settings;
  private final TimerService timers;
  private final Executor control;
  private final Function<String, WorkerService> connector;
  private final ControlView view;
  private final String self;
  private final Map<String, ControlledWorker> workers = new HashMap<>();
  private WorkerFleetListener listener;
  private boolean listRead;

  /**
   * Creates a fleet without workers.
   *
   * @param settings the lease and renewal times
   * @param timers the clock and timers
   * @param control executes tasks on the control thread
   * @param connector creates a worker client from an address
   * @param view the view of the other instances
   * @param self this instance's name and incarnation
   */
  public WorkerFleet(
      WorkerLeaseSettings settings,
      TimerService timers,
      Executor control,
      Function<String, WorkerService> connector,
      ControlView view,
      String self) {
    this.settings = settings;
    this.timers = timers;
    this.control = control;
    this.connector = connector;
    this.view = view;
    this.self = self;
  }

  /**
   * Starts the periodic checks and renewals.
   *
   * @param fleetListener is notified of the workers' status and loss
   */
  public void start(WorkerFleetListener fleetListener) {
    listener = fleetListener;
    timers.every(CHECK_PERIOD, this::checkWorkers);
  }

  /**
   * Updates the workers from the platform's instance list. A worker that is no longer listed gets
   * no new work and is removed once its leases have expired.
   *
   * @param instances the whole instance list
   */
  public void onInstanceList(List<ListedInstance> instances) {
    listRead = true;
    Set<String> listed = new HashSet<>();
    boolean isNew = false;
    for (ListedInstance instance : instances) {
      if (instance.kind() == InstanceKind.WORKER) {
        listed.add(instance.name());
        isNew |= updateListed(instance);
      }
    }
    for (ControlledWorker worker : workers.values()) {
      if (!listed.contains(worker.name()) && worker.isListed()) {
        worker.setListed(false, true);
        reportClosed(worker, "no longer listed");
      }
    }
    if (isNew) {
      checkWorkers();
    }
  }

  private boolean updateListed(ListedInstance instance) {
    ControlledWorker known = workers.get(instance.name());
    boolean isNew = known == null || !known.address().equals(instance.address());
    if (isNew) {
      known =
          new ControlledWorker(
              instance.name(), instance.address(), connector.apply(instance.address()));
      workers.put(instance.name(), known);
    }
    boolean leaving = instance.state() == InstanceState.LEAVING;
    boolean wasLeaving = known.isLeaving();
    known.setListed(true, leaving);
    if (leaving && !wasLeaving) {
      reportClosed(known, "listed as leaving");
    }
    return isNew;
  }

  /**
   * Returns whether the platform's instance list has been read.
   *
   * @return false until the first list arrives after the start
   */
  public boolean isListRead() {
    return listRead;
  }

  /**
   * Returns this instance's control of a worker.
   *
   * @param worker the worker's name
   * @return the control grant, or empty if this instance does not control the worker
   */
  public Optional<ControlGrant> controlGrant(String worker) {
    ControlledWorker known = workers.get(worker);
    if (known == null || !known.isControlled()) {
      return Optional.empty();
    }
    return Optional.of(new ControlGrant(known.service(), known.token()));
  }

  /**
   * Returns the client of a worker for status queries, whoever controls the worker.
   *
   * @param worker the worker's name
   * @return the client, or empty if the worker is not known
   */
  public Optional<WorkerService> service(String worker) {
    return Optional.ofNullable(workers.get(worker)).map(ControlledWorker::service);
  }

  /**
   * Returns the names of the workers that this instance controls.
   *
   * @return an immutable copy
   */
  public List<String> controlledWorkers() {
    return workers.values().stream()
        .filter(ControlledWorker::isControlled)
        .map(ControlledWorker::name)
        .toList();
  }

  /**
   * Returns the clients of all listed workers, whoever controls them. A worker that has not
   * answered for longer than a lease and its margin is omitted, because its tasks have ended.
   *
   * @return the clients by worker name
   */
  public Map<String, WorkerService> listedWorkers() {
    Map<String, WorkerService> listed = new HashMap<>();
    for (ControlledWorker worker : workers.values()) {
      long leaseExpiryMillis = settings.leaseMillis() + settings.marginMillis();
      boolean areLeasesExpired = worker.failingForMillis(timers.nowMillis()) > leaseExpiryMillis;
      if (worker.isListed() && !areLeasesExpired) {
        listed.put(worker.name(), worker.service());
      }
    }
    return listed;
  }

  /**
   * Returns whether the tasks of every worker that this instance should control are known: each
   * such worker is controlled by this or another live instance, or its leases have expired.
   *
   * @return false during a takeover, and until the workers are listed
   */
  public boolean areTasksKnown() {
    return listRead && workers.values().stream().allMatch(this::areTasksKnown);
  }

  private boolean areTasksKnown(ControlledWorker worker) {
    long leaseExpiryMillis = settings.leaseMillis() + settings.marginMillis();
    return worker.isControlled()
        || !worker.isListed()
        || isControlledElsewhere(worker)
        || !view.shouldControl(worker.name())
        || worker.failingForMillis(timers.nowMillis()) > leaseExpiryMillis;
  }

  // The controller seen at the last status query does not count once it is no longer live: the
  // worker's tasks become known only with the next query, up to one check period later.
  private boolean isControlledElsewhere(ControlledWorker worker) {
    return !worker.otherController().isEmpty() && view.isLive(worker.otherController());
  }

  /**
   * Records that a command which may have taken effect was sent, so that its lease counts from now.
   *
   * @param worker the worker's name
   */
  public void recordCommand(String worker) {
    ControlledWorker known = workers.get(worker);
    if (known != null) {
      known.recordCommand(timers.nowMillis());
    }
  }

  /**
   * Releases the control of a worker that rejected this instance's token.
   *
   * @param worker the worker's name
   */
  public void onTokenRefused(String worker) {
    ControlledWorker known = workers.get(worker);
    if (known != null) {
      loseControl(known);
    }
  }

  /**
   * Claims a worker whose controller offers it to this instance.
   *
   * @param worker the worker's name
   */
  public void onOffered(String worker) {
    ControlledWorker known = workers.get(worker);
    if (known != null && !known.isControlled() && !known.isCallPending()) {
      queryStatus(known, true);
    }
  }

  /** Checks every worker once: renews, claims, offers or expires it. */
  public void checkWorkers() {
    for (ControlledWorker worker : new ArrayList<>(workers.values())) {
      if (!worker.isCallPending()) {
        check(worker);
      }
    }
  }

  private void check(ControlledWorker worker) {
    if (expireIfSilent(worker)) {
      return;
    }
    if (worker.isControlled()) {
      checkControlled(worker);
    } else if (worker.isListed() && view.shouldControl(worker.name())) {
      queryStatus(worker, false);
    }
  }

  private void checkControlled(ControlledWorker worker) {
    if (!view.shouldControl(worker.name()) && !worker.isLeaving()) {
      reportClosed(worker, "offered to its wanted controller");
      view.offer(worker.name());
    }
    if (worker.consecutiveFailures() >= FAILURES_BEFORE_CLOSED) {
      // A renewal to a worker that does not answer may still take effect and extend the leases, so
      // that the end of its tasks would remain unknown. A status query has no side effects.
      queryStatus(worker, false);
    } else if (isRenewalDue(worker)) {
      renew(worker);
    }
  }

  private boolean isRenewalDue(ControlledWorker worker) {
    long sinceResponseMillis = timers.nowMillis() - worker.lastResponseMillis();
    // One check period is subtracted, so that no renewal is later than the renewal period.
    return worker.consecutiveFailures() > 0
        || sinceResponseMillis > settings.renewalMillis() - CHECK_PERIOD.toMillis()
        || !view.shouldControl(worker.name());
  }

  private boolean expireIfSilent(ControlledWorker worker) {
    boolean silent = worker.consecutiveFailures() >= FAILURES_BEFORE_CLOSED || !worker.isListed();
    long leasesEndMillis =
        worker.lastCommandMillis() + settings.leaseMillis() + settings.marginMillis();
    boolean respondedRecently =
        worker.consecutiveFailures() == 0
            && timers.nowMillis() - worker.lastResponseMillis() < settings.leaseMillis();
    if (!silent || respondedRecently || timers.nowMillis() < leasesEndMillis) {
      return false;
    }
    if (worker.isControlled()) {
      LOGGER.log(Level.WARNING, "worker: {0} lost, its leases have run out", worker.name());
      worker.clearToken();
      listener.onLost(worker.name());
    }
    if (!worker.isListed()) {
      workers.remove(worker.name());
      return true;
    }
    return false;
  }

  private void renew(ControlledWorker worker) {
    worker.recordCommand(timers.nowMillis());
    long token = worker.token();
    call(
        worker,
        worker.service().renew(token, settings.leaseMillis()),
        status -> {
          if (worker.token() == token) {
            reportStatus(worker, status);
          }
        });
  }

  private void queryStatus(ControlledWorker worker, boolean isOffered) {
    call(worker, worker.service().status(), status -> claimIfFree(worker, status, isOffered));
  }

  private void claimIfFree(ControlledWorker worker, WorkerStatus status, boolean isOffered) {
    if (worker.isControlled() && status.token() == worker.token()) {
      renew(worker);
      return;
    }
    if (worker.isControlled()) {
      loseControl(worker);
    }
    boolean isFree =
        status.controller().isEmpty()
            || isOffered
            || status.controller().equals(self)
            || !view.isLive(status.controller());
    worker.setOtherController(isFree ? "" : status.controller());
    if (isFree && !status.leaving()) {
      claim(worker, status.token());
    }
  }

  private void claim(ControlledWorker worker, long observedToken) {
    worker.recordCommand(timers.nowMillis());
    call(
        worker,
        worker.service().claim(self, observedToken),
        status -> {
          if (!status.controller().equals(self)) {
            return;
          }
          worker.setToken(status.token());
          LOGGER.log(Level.INFO, "worker: {0} taken with token {1}", worker.name(), status.token());
          reportStatus(worker, status);
          renew(worker);
        });
  }

  private void reportStatus(ControlledWorker worker, WorkerStatus status) {
    boolean open =
        !worker.isLeaving()
            && !view.isDrained(worker.name())
            && view.shouldControl(worker.name())
            && worker.isControlled();
    worker.description().ifPresent(description -> listener.onStatus(description, status, open));
  }

  private void loseControl(ControlledWorker worker) {
    if (worker.isControlled()) {
      LOGGER.log(Level.INFO, "worker: {0} has another controller", worker.name());
      worker.clearToken();
      reportClosed(worker, "has another controller");
    }
  }

  private void reportClosed(ControlledWorker worker, String reason) {
    listener.onClosed(worker.name(), reason);
  }

  private void call(
      ControlledWorker worker, Uni<WorkerStatus> call, Consumer<WorkerStatus> onStatus) {
    worker.setCallPending(true);
    call.subscribe()
        .with(
            status ->
                control.execute(
                    () -> {
                      worker.setCallPending(false);
                      worker.recordStatus(status, timers.nowMillis());
                      onStatus.accept(status);
                    }),
            error ->
                control.execute(
                    () -> {
                      worker.setCallPending(false);
                      onCallFailed(worker, error);
                    }));
  }

  private void onCallFailed(ControlledWorker worker, Throwable error) {
    if (error instanceof WorkerException workerError
        && workerError.kind() == WorkerErrorKind.STALE_TOKEN) {
      loseControl(worker);
      return;
    }
    worker.recordFailure(timers.nowMillis());
    LOGGER.log(Level.DEBUG, "worker: {0} did not answer: {1}", worker.name(), error.getMessage());
    if (worker.consecutiveFailures() == FAILURES_BEFORE_CLOSED && worker.isControlled()) {
      LOGGER.log(Level.WARNING, "worker: {0} does not answer", worker.name());
      reportClosed(worker, "does not answer");
    }
  }
}
