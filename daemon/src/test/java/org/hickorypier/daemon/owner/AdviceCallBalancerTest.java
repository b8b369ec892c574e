package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.time.ManualTimerService;
import org.junit.jupiter.api.Test;

/**
 * Calls for gangs take 0.6 s, those for short checks 9 ms; the advisor serves each instance in
 * order.
 */
class AdviceCallBalancerTest {

  private static final double LONG_CALL_MILLIS = 630;
  private static final double SHORT_CALL_MILLIS = 9;

  private final ManualTimerService timers = new ManualTimerService();
  private final AdviceCallBalancer balancer = new AdviceCallBalancer(timers);
  private final List<Promise<LinkReply>> openCalls = new ArrayList<>();
  private final List<AdviceCallBalancer.Instance> instances = new ArrayList<>();

  private void addInstances(int count) {
    for (int index = 0; index < count; index++) {
      instances.add(
          balancer.add(
              "10.0.0." + index,
              (request, timeout) -> {
                Promise<LinkReply> promise = Promise.promise();
                openCalls.add(promise);
                return promise.future();
              }));
    }
  }

  private AdviceCallBalancer.Instance ask(double millis) {
    AdviceCallBalancer.Instance instance = balancer.choose(millis).orElseThrow();
    instance.ask("step", List.of("w"), millis);
    return instance;
  }

  @Test
  void longCallsLeaveReservedInstancesToShortCalls() {
    addInstances(7);
    Set<AdviceCallBalancer.Instance> busy = new HashSet<>();
    for (int call = 0; call < 10; call++) {
      busy.add(ask(LONG_CALL_MILLIS));
    }
    assertThat(busy).hasSize(5);
    assertThat(busy).doesNotContain(ask(SHORT_CALL_MILLIS));
  }

  /**
   * Guards against late short checks after a takeover. The owner is lost during long calls for
   * gangs, and the successor links to the instances in another order. It must reserve the same
   * instances, because the advisor still works off the earlier calls, and a short check queued
   * behind them is answered too late.
   */
  @Test
  void reservedInstancesDoNotDependOnLinkOrder() {
    addInstances(6);
    Set<Integer> busy = new HashSet<>();
    for (int call = 0; call < 8; call++) {
      busy.add(instances.indexOf(ask(LONG_CALL_MILLIS)));
    }
    AdviceCallBalancer successor = new AdviceCallBalancer(timers);
    List<AdviceCallBalancer.Instance> successorInstances = new ArrayList<>();
    for (int index = 5; index >= 0; index--) {
      successorInstances.add(
          0,
          successor.add(
              "10.0.0." + index, (request, timeout) -> Promise.<LinkReply>promise().future()));
    }
    Set<Integer> successorBusy = new HashSet<>();
    for (int call = 0; call < 8; call++) {
      AdviceCallBalancer.Instance instance = successor.choose(LONG_CALL_MILLIS).orElseThrow();
      instance.ask("step", List.of("w"), LONG_CALL_MILLIS);
      successorBusy.add(successorInstances.indexOf(instance));
    }
    assertThat(successorBusy).isEqualTo(busy).hasSize(4);
  }

  @Test
  void noCallIsMadeBehindBacklogThatOutlastsTickets() {
    addInstances(1);
    ask(LONG_CALL_MILLIS);
    ask(LONG_CALL_MILLIS);
    ask(LONG_CALL_MILLIS);
    assertThat(balancer.choose(LONG_CALL_MILLIS)).isEmpty();
    openCalls.get(0).complete(new LinkReply.Failed());
    assertThat(balancer.choose(LONG_CALL_MILLIS)).isPresent();
  }

  /**
   * Guards against an order of calls that is fixed too early. All instances restart, one is linked,
   * and a hundred checks need tickets. Only a few calls may be open at once, so that the most
   * urgent step of the next pass is served next.
   */
  @Test
  void concurrentShortCallsAreLimited() {
    addInstances(1);
    for (int call = 0; call < 8; call++) {
      ask(SHORT_CALL_MILLIS);
    }
    assertThat(balancer.choose(SHORT_CALL_MILLIS)).isEmpty();
    openCalls.get(0).complete(new LinkReply.Failed());
    assertThat(balancer.choose(SHORT_CALL_MILLIS)).isPresent();
  }

  /**
   * Guards against a short check that ends 3 s late because the instance that carries its call has
   * lost power, which shows only in the timeout of the call. Another instance must be asked after a
   * short delay, and the silent one gets no further calls while others answer.
   */
  @Test
  void unansweredShortCallIsRetriedThroughAnotherInstance() {
    addInstances(3);
    final Future<LinkReply> reply =
        balancer.ask("step", List.of("w"), SHORT_CALL_MILLIS).orElseThrow();
    assertThat(openCalls).hasSize(1);
    timers.advance(Duration.ofMillis(400));
    assertThat(openCalls).hasSize(2);
    openCalls.get(1).complete(new LinkReply.Tickets(Map.of("w", "ticket"), 2_500));
    assertThat(reply.result()).isInstanceOf(LinkReply.Tickets.class);
    Set<AdviceCallBalancer.Instance> chosen = new HashSet<>();
    for (int call = 0; call < 6; call++) {
      chosen.add(ask(SHORT_CALL_MILLIS));
    }
    assertThat(chosen).hasSize(2);
  }

  @Test
  void callThroughBrokenLinkIsRetriedElsewhereImmediately() {
    addInstances(2);
    final Future<LinkReply> reply =
        balancer.ask("step", List.of("w"), SHORT_CALL_MILLIS).orElseThrow();
    openCalls.get(0).fail("the link broke");
    assertThat(openCalls).hasSize(2);
    openCalls.get(1).fail("the link broke");
    assertThat(reply.result()).isInstanceOf(LinkReply.Failed.class);
  }

  @Test
  void removedInstanceIsNotAsked() {
    addInstances(2);
    balancer.remove(instances.get(1));
    assertThat(ask(SHORT_CALL_MILLIS)).isSameAs(instances.get(0));
  }
}
