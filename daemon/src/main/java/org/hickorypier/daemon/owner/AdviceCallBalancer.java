package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;

/**
 * Distributes the owner's calls to the advisor over the instances.
 *
 * <p>The advisor serves one call at a time for each instance, in order of arrival, so a single
 * instance can make fewer calls than the cell needs: 1.6 s of call time per second on the users'
 * sites in calm periods. Short calls must not queue behind long ones, since the work that they are
 * for is short as well, so some instances are reserved for short calls.
 *
 * <p>An instance that has lost power or connectivity does not answer, and nothing reports the loss.
 * A short check would wait some 3 s for its call to time out, five times its own length. A short
 * call without a timely answer is therefore retried through another instance, and the silent
 * instance is chosen last until it answers. Confined to the control thread.
 */
final class AdviceCallBalancer {

  /** Calls for gangs take 0.4 s and more, those for short checks some 10 ms. */
  private static final double LONG_CALL_MILLIS = 60;

  /** With a longer backlog ahead of a call, its tickets arrive too late to be of use. */
  private static final double MAX_BACKLOG_MILLIS = 1_500;

  /**
   * How much later than expected a call may be answered before it counts as lost. The advisor still
   * works off the calls that an instance made before its restart, and also the calls that were
   * given up, so a retry only makes its queue longer.
   */
  private static final long TIMEOUT_SLACK_MILLIS = 2_500;

  /**
   * Limit of the concurrent calls through one instance. The advisor serves them in order, so more
   * calls only fix the order early, before more urgent steps are known. After a restart of all
   * instances, hundreds of steps need calls at once while few instances are linked.
   */
  private static final int MAX_CONCURRENT_CALLS = 8;

  /** One in three instances is reserved for short calls. */
  private static final int INSTANCES_PER_RESERVED_INSTANCE = 3;

  /**
   * How late a short call may be before it is retried through another instance: ten times the usual
   * time of an answer on the wire.
   */
  private static final long SHORT_CALL_RETRY_DELAY_MILLIS = 150;

  private final List<Instance> instances = new ArrayList<>();
  private final TimerService timers;

  AdviceCallBalancer(TimerService timers) {
    this.timers = timers;
  }

  /**
   * Adds an instance. The instances are ordered by address, so that a successor reserves the same
   * ones for short calls: the advisor still works off the calls of the lost owner, and a short
   * check queued behind them waits for 1.1 s.
   */
  Instance add(String address, Ownership.AdvisorClient advisorClient) {
    Instance instance = new Instance(address, advisorClient);
    int position = 0;
    while (position < instances.size() && instances.get(position).address.compareTo(address) <= 0) {
      position++;
    }
    instances.add(position, instance);
    return instance;
  }

  void remove(Instance instance) {
    instances.remove(instance);
  }

  /**
   * Calls the advisor through one of the instances.
   *
   * @param step the step's name
   * @param workers the ids of the workers to ask about
   * @param callMillis how long the advisor works on the call, in milliseconds
   * @return the reply, or empty if the backlog of all instances is too long; the reply never fails
   */
  Optional<Future<LinkReply>> ask(String step, List<String> workers, double callMillis) {
    return choose(callMillis)
        .map(instance -> new AdviceCall(step, workers, callMillis).start(instance));
  }

  /** Returns the instance to call through, or empty if the backlog of all instances is too long. */
  Optional<Instance> choose(double callMillis) {
    int reserved = instances.size() / INSTANCES_PER_RESERVED_INSTANCE;
    int usable = callMillis > LONG_CALL_MILLIS ? instances.size() - reserved : instances.size();
    Instance best = null;
    for (int index = instances.size() - 1; index >= 0; index--) {
      Instance instance = instances.get(index);
      if (index < usable && (best == null || instance.isPreferredTo(best))) {
        best = instance;
      }
    }
    return Optional.ofNullable(best)
        .filter(
            instance ->
                instance.backlogMillis < MAX_BACKLOG_MILLIS
                    && instance.openCalls < MAX_CONCURRENT_CALLS);
  }

  /** A call that is made at most twice. */
  private final class AdviceCall {

    private final String step;
    private final List<String> workers;
    private final double callMillis;
    private final Promise<LinkReply> result = Promise.promise();
    private TimerSubscription retryTimer = () -> {};
    private boolean retried;
    private int openAttempts;

    AdviceCall(String step, List<String> workers, double callMillis) {
      this.step = step;
      this.workers = workers;
      this.callMillis = callMillis;
    }

    Future<LinkReply> start(Instance instance) {
      send(instance);
      if (callMillis <= LONG_CALL_MILLIS) {
        long overdueMillis = Math.round(instance.backlogMillis) + SHORT_CALL_RETRY_DELAY_MILLIS;
        retryTimer = timers.after(Duration.ofMillis(overdueMillis), () -> handleOverdue(instance));
      }
      return result.future().onComplete(done -> retryTimer.cancel());
    }

    private void handleOverdue(Instance instance) {
      instance.silent = true;
      retry();
    }

    private void retry() {
      if (!retried) {
        retried = true;
        choose(callMillis).ifPresent(this::send);
      }
    }

    private void send(Instance instance) {
      openAttempts++;
      instance
          .ask(step, workers, callMillis)
          .onComplete(
              reply -> {
                instance.silent = false;
                handleReply(reply);
              },
              error -> {
                instance.silent = true;
                handleReply(new LinkReply.Failed());
              });
    }

    private void handleReply(LinkReply reply) {
      openAttempts--;
      if (!(reply instanceof LinkReply.Failed)) {
        result.tryComplete(reply);
        return;
      }
      if (!result.future().isComplete()) {
        retry();
      }
      if (openAttempts == 0) {
        result.tryComplete(reply);
      }
    }
  }

  /** An instance with its open calls. */
  static final class Instance {

    private final String address;
    private final Ownership.AdvisorClient advisorClient;
    private double backlogMillis;
    private boolean silent;
    private int openCalls;

    private Instance(String address, Ownership.AdvisorClient advisorClient) {
      this.address = address;
      this.advisorClient = advisorClient;
    }

    private boolean isPreferredTo(Instance other) {
      return silent == other.silent ? backlogMillis < other.backlogMillis : other.silent;
    }

    Future<LinkReply> ask(String step, List<String> workers, double callMillis) {
      long timeoutMillis = Math.round(backlogMillis + callMillis) + TIMEOUT_SLACK_MILLIS;
      backlogMillis += callMillis;
      openCalls++;
      return advisorClient
          .ask(
              new LinkRequest.Advise(step, workers, timeoutMillis),
              timeoutMillis + TIMEOUT_SLACK_MILLIS)
          .onComplete(
              done -> {
                backlogMillis -= callMillis;
                openCalls--;
              });
    }
  }
}
