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
 * Spreads the owner's questions to the advisor over the instances.
 *
 * <p>The advisor serves one call at a time for each instance, in turn, so one instance alone can
 * ask less than the cell needs: 1.6 s of calls a second on the users' sites in calm. Short calls
 * must not wait behind long ones, since the work that they are for is short as well: some instances
 * are kept free of long calls.
 *
 * <p>An instance that has lost power or path answers nothing, and nothing tells so. A short check
 * would wait some 3 s for its call to time out, five times its own length. So a short call without
 * an answer in time is asked again through another instance, and the silent one is the last choice
 * until it answers. Belongs to the control thread.
 */
final class AdviceCallBalancer {

  /** Calls for gangs take 0.4 s and more, those for short checks some 10 ms. */
  private static final double LONG_CALL_MILLIS = 60;

  /** More than this ahead of a call, and its tickets would come too late to be of use. */
  private static final double MAX_BACKLOG_MILLIS = 1_500;

  /**
   * A call may take so much longer than expected before it counts as lost. The advisor still works
   * off what an instance asked before its restart, and a call that is given up is worked off all
   * the same: asking anew only makes the queue longer.
   */
  private static final long TIMEOUT_SLACK_MILLIS = 2_500;

  /**
   * Calls of one instance at once. The advisor serves them in turn, so more only fix the order
   * early, before more urgent steps are known; after a restart of all instances hundreds of steps
   * ask at once while few instances are linked.
   */
  private static final int MAX_CONCURRENT_CALLS = 8;

  /** One in three instances is kept for short calls. */
  private static final int INSTANCES_PER_RESERVED_INSTANCE = 3;

  /**
   * A short call may be so much late before it is asked again elsewhere: ten times an answer's
   * usual time on the wire.
   */
  private static final long SHORT_CALL_RETRY_DELAY_MILLIS = 150;

  private final List<Instance> instances = new ArrayList<>();
  private final TimerService timers;

  AdviceCallBalancer(TimerService timers) {
    this.timers = timers;
  }

  /**
   * Adds an instance. The instances are ordered by address, so that a successor keeps the same ones
   * free of long calls: the advisor still works off what the lost owner had asked, and a short
   * check behind it waited for 1.1 s.
   */
  Instance add(String address, Ownership.AdvisorClient asker) {
    Instance helper = new Instance(address, asker);
    int place = 0;
    while (place < instances.size() && instances.get(place).address.compareTo(address) <= 0) {
      place++;
    }
    instances.add(place, helper);
    return helper;
  }

  void remove(Instance helper) {
    instances.remove(helper);
  }

  /**
   * Asks the advisor through some instance.
   *
   * @param step the step's name
   * @param workers the workers to name
   * @param callMillis how long the advisor works on it, in milliseconds
   * @return the reply, or empty if all instances have too much ahead
   */
  Optional<Future<LinkReply>> ask(String step, List<String> workers, double callMillis) {
    return choose(callMillis)
        .map(helper -> new AdviceCall(step, workers, callMillis).start(helper));
  }

  /** Returns the instance to ask, or empty if all have too much ahead. */
  Optional<Instance> choose(double callMillis) {
    int kept = instances.size() / INSTANCES_PER_RESERVED_INSTANCE;
    int usable = callMillis > LONG_CALL_MILLIS ? instances.size() - kept : instances.size();
    Instance best = null;
    for (int index = instances.size() - 1; index >= 0; index--) {
      Instance helper = instances.get(index);
      if (index < usable && (best == null || helper.isPreferredTo(best))) {
        best = helper;
      }
    }
    return Optional.ofNullable(best)
        .filter(
            helper ->
                helper.backlogMillis < MAX_BACKLOG_MILLIS
                    && helper.openCalls < MAX_CONCURRENT_CALLS);
  }

  /** One question, asked at most twice. */
  private final class AdviceCall {

    private final String step;
    private final List<String> workers;
    private final double callMillis;
    private final Promise<LinkReply> answer = Promise.promise();
    private TimerSubscription retryTimer = () -> {};
    private boolean retried;
    private int openAttempts;

    AdviceCall(String step, List<String> workers, double callMillis) {
      this.step = step;
      this.workers = workers;
      this.callMillis = callMillis;
    }

    Future<LinkReply> start(Instance helper) {
      send(helper);
      if (callMillis <= LONG_CALL_MILLIS) {
        long expected = Math.round(helper.backlogMillis) + SHORT_CALL_RETRY_DELAY_MILLIS;
        retryTimer = timers.after(Duration.ofMillis(expected), () -> handleOverdue(helper));
      }
      return answer.future().onComplete(done -> retryTimer.cancel());
    }

    private void handleOverdue(Instance helper) {
      helper.silent = true;
      retry();
    }

    private void retry() {
      if (!retried) {
        retried = true;
        choose(callMillis).ifPresent(this::send);
      }
    }

    private void send(Instance helper) {
      openAttempts++;
      helper
          .ask(step, workers, callMillis)
          .onComplete(
              reply -> {
                helper.silent = false;
                handleReply(reply);
              },
              error -> {
                helper.silent = true;
                handleReply(new LinkReply.Failed());
              });
    }

    private void handleReply(LinkReply reply) {
      openAttempts--;
      if (!(reply instanceof LinkReply.Failed)) {
        answer.tryComplete(reply);
        return;
      }
      if (!answer.future().isComplete()) {
        retry();
      }
      if (openAttempts == 0) {
        answer.tryComplete(reply);
      }
    }
  }

  /** One instance with the calls that it has in hand. */
  static final class Instance {

    private final String address;
    private final Ownership.AdvisorClient asker;
    private double backlogMillis;
    private boolean silent;
    private int openCalls;

    private Instance(String address, Ownership.AdvisorClient asker) {
      this.address = address;
      this.asker = asker;
    }

    private boolean isPreferredTo(Instance other) {
      return silent == other.silent ? backlogMillis < other.backlogMillis : other.silent;
    }

    Future<LinkReply> ask(String step, List<String> workers, double callMillis) {
      long timeout = Math.round(backlogMillis + callMillis) + TIMEOUT_SLACK_MILLIS;
      backlogMillis += callMillis;
      openCalls++;
      return asker
          .ask(new LinkRequest.Advise(step, workers, timeout), timeout + TIMEOUT_SLACK_MILLIS)
          .onComplete(
              done -> {
                backlogMillis -= callMillis;
                openCalls--;
              });
    }
  }
}
