package org.hickorypier.daemon.entry;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.hickorypier.core.keys.KeyCheck;
import org.hickorypier.core.keys.KeyVerifier;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.caller.CallerGateway;
import org.hickorypier.daemon.caller.CallerRequest;
import org.hickorypier.daemon.caller.DenialKind;
import org.hickorypier.daemon.caller.DeniedException;
import org.hickorypier.daemon.configuration.ConfigurationService;
import org.hickorypier.daemon.job.JobService;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.FirstTryTracker;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;

/**
 * The entry point of caller requests: it authenticates the caller's key, accepts new work only
 * while the instance is ready, and routes a synchronous request to its home, the instance that
 * decides on it.
 *
 * <p>Thread-safe. Every call is handed over to the control thread.
 */
public final class EntryService implements CallerGateway {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final Executor control;
  private final TimerService timers;
  private final ConfigurationService configuration;
  private final Readiness readiness;
  private final HomeRouting routing;
  private final FirstTryTracker firstTries;
  private final JobService jobs;

  /**
   * Creates the service.
   *
   * @param control the executor of the control thread
   * @param timers the clock and timers
   * @param configuration the source of teams and API keys
   * @param readiness decides whether new work is accepted
   * @param routing forwards synchronous requests to their homes
   * @param firstTries records when each request was first tried, to recognize retries
   * @param jobs the job service
   */
  public EntryService(
      Executor control,
      TimerService timers,
      ConfigurationService configuration,
      Readiness readiness,
      HomeRouting routing,
      FirstTryTracker firstTries,
      JobService jobs) {
    this.control = control;
    this.timers = timers;
    this.configuration = configuration;
    this.readiness = readiness;
    this.routing = routing;
    this.firstTries = firstTries;
    this.jobs = jobs;
  }

  @Override
  public Uni<WorkResult> run(String presentedKey, CallerRequest request) {
    return runOnControlThread(
        emitter -> {
          Submission submission = admit(presentedKey, request);
          routing.route(firstTries.recordTry(submission, timers.nowMillis()), emitter::complete);
        });
  }

  @Override
  public Uni<JobView> accept(String presentedKey, CallerRequest request) {
    return runOnControlThread(
        emitter ->
            jobs.accept(admit(presentedKey, request))
                .subscribe()
                .with(emitter::complete, emitter::fail));
  }

  @Override
  public Uni<JobView> find(String presentedKey, String requestId) {
    return runOnControlThread(
        emitter ->
            emitter.complete(jobs.find(new WorkKey(authenticateTeam(presentedKey), requestId))));
  }

  @Override
  public Uni<JobView> cancel(String presentedKey, String requestId) {
    return runOnControlThread(
        emitter ->
            jobs.cancel(new WorkKey(authenticateTeam(presentedKey), requestId))
                .subscribe()
                .with(emitter::complete, emitter::fail));
  }

  private Submission admit(String presentedKey, CallerRequest request) throws DeniedException {
    Optional<String> unreadyReason = readiness.unreadyReason();
    if (unreadyReason.isPresent()) {
      throw new DeniedException(DenialKind.UNAVAILABLE, unreadyReason.get(), RETRY_AFTER_MILLIS);
    }
    String team = authenticateTeam(presentedKey);
    if (!request.team().isEmpty() && !request.team().equals(team)) {
      throw new DeniedException(
          DenialKind.FOREIGN_TEAM, "the key does not belong to team " + request.team(), 0);
    }
    long now = timers.nowMillis();
    WorkItem item =
        new WorkItem(
            new WorkKey(team, request.requestId()),
            request.workClass(),
            request.name(),
            request.resources(),
            request.tasks(),
            request.idempotent(),
            now,
            now + request.deadlineMillis(),
            request.runMillis());
    return new Submission(item, request.payload());
  }

  private String authenticateTeam(String presentedKey) throws DeniedException {
    KeyCheck check = KeyVerifier.check(configuration.current(), presentedKey);
    if (!check.isValid()) {
      throw new DeniedException(DenialKind.BAD_KEY, "the key is not valid", 0);
    }
    if (check.isOperator()) {
      throw new DeniedException(
          DenialKind.FOREIGN_TEAM, "an operator's key runs no work for a team", 0);
    }
    return check.team();
  }

  private <T> Uni<T> runOnControlThread(ControlStep<T> step) {
    return Uni.createFrom()
        .emitter(
            (Consumer<UniEmitter<? super T>>)
                emitter ->
                    control.execute(
                        () -> {
                          try {
                            step.run(emitter);
                          } catch (DeniedException denied) {
                            emitter.fail(denied);
                          }
                        }));
  }

  @FunctionalInterface
  private interface ControlStep<T> {
    void run(UniEmitter<? super T> emitter) throws DeniedException;
  }
}
