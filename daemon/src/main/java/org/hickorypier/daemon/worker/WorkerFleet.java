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
 * Takes, keeps and gives up the control of workers.
 *
 * <p>Belongs to the control thread. Invariants: a worker is claimed only with the token last seen,
 * and only if its controller is gone from our view; a worker is reported lost only after every
 * lease that we can have renewed there has run out.
 */
public final class WorkerFleet {

  private static final Logger LOGGER = System.getLogger(WorkerFleet.class.getName());

  // One lost packet must not close a worker, and a dead one must not draw starts for long. Two
  // missed renewals are seen within a few seconds, well inside a lease.
  private static final int FAILURES_BEFORE_CLOSED = 2;

  // The workers of a lost instance take no work until somebody looks at them. Looking every second
  // costs one question for each worker that changes hands; renewals keep their own, longer period.
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
   * @param settings the times
   * @param timers the time
   * @param control the control thread
   * @param connector makes a worker service from an address
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
   * Starts the regular renewals.
   *
   * @param fleetListener hears what becomes of the workers
   */
  public void start(WorkerFleetListener fleetListener) {
    listener = fleetListener;
    timers.every(CHECK_PERIOD, this::checkWorkers);
  }

  /**
   * Takes in the platform's list. A worker that is no longer listed gets no new work; it is
   * forgotten once its leases have run out.
   *
   * @param instances the whole list
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
   * Tells whether the platform's list has been taken in.
   *
   * @return false for a moment after the start
   */
  public boolean isListRead() {
    return listRead;
  }

  /**
   * Returns our control of a worker.
   *
   * @param worker the worker's name
   * @return the control, or empty if we do not hold it
   */
  public Optional<ControlGrant> controlGrant(String worker) {
    ControlledWorker known = workers.get(worker);
    if (known == null || !known.isControlled()) {
      return Optional.empty();
    }
    return Optional.of(new ControlGrant(known.service(), known.token()));
  }

  /**
   * Returns the worker itself, held or not, to ask after tasks.
   *
   * @param worker the worker's name
   * @return the worker, or empty if it was never listed
   */
  public Optional<WorkerService> service(String worker) {
    return Optional.ofNullable(workers.get(worker)).map(ControlledWorker::service);
  }

  /**
   * Returns the names of the workers that we hold.
   *
   * @return a copy
   */
  public List<String> controlledWorkers() {
    return workers.values().stream()
        .filter(ControlledWorker::isControlled)
        .map(ControlledWorker::name)
        .toList();
  }

  /**
   * Returns every listed worker, held or not, to ask all of them.
   *
   * @return the workers by name
   */
  public Map<String, WorkerService> listedWorkers() {
    Map<String, WorkerService> listed = new HashMap<>();
    for (ControlledWorker worker : workers.values()) {
      long leases = settings.leaseMillis() + settings.marginMillis();
      boolean isEmpty = worker.failingForMillis(timers.nowMillis()) > leases;
      if (worker.isListed() && !isEmpty) {
        listed.put(worker.name(), worker.service());
      }
    }
    return listed;
  }

  /**
   * Tells whether the tasks of every worker that we should control are known: each such worker is
   * held by us or by another live instance, or its leases have run out.
   *
   * @return false while a takeover is under way, and until the workers are listed
   */
  public boolean areTasksKnown() {
    return listRead && workers.values().stream().allMatch(this::areTasksKnown);
  }

  private boolean areTasksKnown(ControlledWorker worker) {
    long leases = settings.leaseMillis() + settings.marginMillis();
    return worker.isControlled()
        || !worker.isListed()
        || isControlledElsewhere(worker)
        || !view.shouldControl(worker.name())
        || worker.failingForMillis(timers.nowMillis()) > leases;
  }

  // An instance that controlled the worker when it was last asked is no proof once it is gone: its
  // tasks are found only when the worker is asked again, up to a look later.
  private boolean isControlledElsewhere(ControlledWorker worker) {
    return !worker.otherController().isEmpty() && view.isLive(worker.otherController());
  }

  /**
   * Notes that an order which may have taken effect was sent, so its lease counts from now.
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
   * Notes that the worker refused our token.
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
   * Takes a worker whose controller offers it to us.
   *
   * @param worker the worker's name
   */
  public void onOffered(String worker) {
    ControlledWorker known = workers.get(worker);
    if (known != null && !known.isControlled() && !known.isCallPending()) {
      queryStatus(known, true);
    }
  }

  /** Looks after every worker once: renew, claim, offer or give up. */
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
      // A renewal to a worker that does not answer may still take effect there and lengthen the
      // leases, so we could never say when its tasks have ended. Asking changes nothing.
      queryStatus(worker, false);
    } else if (isRenewalDue(worker)) {
      renew(worker);
    }
  }

  private boolean isRenewalDue(ControlledWorker worker) {
    long sinceHeard = timers.nowMillis() - worker.lastResponseMillis();
    // Room for one period of looking, so that renewals never come later than their period.
    return worker.consecutiveFailures() > 0
        || sinceHeard > settings.renewalMillis() - CHECK_PERIOD.toMillis()
        || !view.shouldControl(worker.name());
  }

  private boolean expireIfSilent(ControlledWorker worker) {
    boolean silent = worker.consecutiveFailures() >= FAILURES_BEFORE_CLOSED || !worker.isListed();
    long leasesEnd = worker.lastCommandMillis() + settings.leaseMillis() + settings.marginMillis();
    boolean heardLately =
        worker.consecutiveFailures() == 0
            && timers.nowMillis() - worker.lastResponseMillis() < settings.leaseMillis();
    if (!silent || heardLately || timers.nowMillis() < leasesEnd) {
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
    worker.description().ifPresent(text -> listener.onStatus(text, status, open));
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
      ControlledWorker worker, Uni<WorkerStatus> call, Consumer<WorkerStatus> answered) {
    worker.setCallPending(true);
    call.subscribe()
        .with(
            status ->
                control.execute(
                    () -> {
                      worker.setCallPending(false);
                      worker.recordStatus(status, timers.nowMillis());
                      answered.accept(status);
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
