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

/** Gangs ask for 0.6 s, short checks for 9 ms; the advisor serves each instance in turn. */
class AdviceCallBalancerTest {

  private static final double LONG = 630;
  private static final double SHORT = 9;

  private final ManualTimerService timers = new ManualTimerService();
  private final AdviceCallBalancer desk = new AdviceCallBalancer(timers);
  private final List<Promise<LinkReply>> open = new ArrayList<>();
  private final List<AdviceCallBalancer.Instance> helpers = new ArrayList<>();

  private void instances(int count) {
    for (int index = 0; index < count; index++) {
      helpers.add(
          desk.add(
              "10.0.0." + index,
              (request, timeout) -> {
                Promise<LinkReply> promise = Promise.promise();
                open.add(promise);
                return promise.future();
              }));
    }
  }

  private AdviceCallBalancer.Instance ask(double millis) {
    AdviceCallBalancer.Instance helper = desk.choose(millis).orElseThrow();
    helper.ask("step", List.of("w"), millis);
    return helper;
  }

  @Test
  void longCallsLeaveInstancesFreeForShortOnes() {
    instances(7);
    Set<AdviceCallBalancer.Instance> busy = new HashSet<>();
    for (int call = 0; call < 10; call++) {
      busy.add(ask(LONG));
    }
    assertThat(busy).hasSize(5);
    assertThat(busy).doesNotContain(ask(SHORT));
  }

  /**
   * The owner is lost while long calls of its gangs are under way. The successor hears of the
   * instances in another order, and must keep the same ones free: the advisor still works off what
   * was asked before, and a short check behind it would come too late.
   */
  @Test
  void sameInstancesAreKeptFreeWhateverTheOrderOfTheirLinks() {
    instances(6);
    Set<Integer> busy = new HashSet<>();
    for (int call = 0; call < 8; call++) {
      busy.add(helpers.indexOf(ask(LONG)));
    }
    AdviceCallBalancer successor = new AdviceCallBalancer(timers);
    List<AdviceCallBalancer.Instance> linked = new ArrayList<>();
    for (int index = 5; index >= 0; index--) {
      linked.add(
          0,
          successor.add(
              "10.0.0." + index, (request, timeout) -> Promise.<LinkReply>promise().future()));
    }
    Set<Integer> busyAgain = new HashSet<>();
    for (int call = 0; call < 8; call++) {
      AdviceCallBalancer.Instance helper = successor.choose(LONG).orElseThrow();
      helper.ask("step", List.of("w"), LONG);
      busyAgain.add(linked.indexOf(helper));
    }
    assertThat(busyAgain).isEqualTo(busy).hasSize(4);
  }

  @Test
  void nothingIsAskedBehindMoreThanTicketsLast() {
    instances(1);
    ask(LONG);
    ask(LONG);
    ask(LONG);
    assertThat(desk.choose(LONG)).isEmpty();
    open.get(0).complete(new LinkReply.Failed());
    assertThat(desk.choose(LONG)).isPresent();
  }

  /**
   * All instances restart, one is linked, and a hundred checks want tickets. Only a few calls are
   * under way at once, so the most urgent step of the next pass is asked next.
   */
  @Test
  void fewShortCallsAreUnderWayAtOnce() {
    instances(1);
    for (int call = 0; call < 8; call++) {
      ask(SHORT);
    }
    assertThat(desk.choose(SHORT)).isEmpty();
    open.get(0).complete(new LinkReply.Failed());
    assertThat(desk.choose(SHORT)).isPresent();
  }

  /**
   * A caller's short check came 3 s late. The instance through which its ticket was asked for had
   * lost power; nothing told so until the call timed out. Now another one is asked after a moment,
   * and the silent one gets no further calls while others answer.
   */
  @Test
  void shortCallThatStaysUnansweredIsAskedThroughAnotherInstance() {
    instances(3);
    final Future<LinkReply> reply = desk.ask("step", List.of("w"), SHORT).orElseThrow();
    assertThat(open).hasSize(1);
    timers.advance(Duration.ofMillis(400));
    assertThat(open).hasSize(2);
    open.get(1).complete(new LinkReply.Tickets(Map.of("w", "ticket"), 2_500));
    assertThat(reply.result()).isInstanceOf(LinkReply.Tickets.class);
    Set<AdviceCallBalancer.Instance> chosen = new HashSet<>();
    for (int call = 0; call < 6; call++) {
      chosen.add(ask(SHORT));
    }
    assertThat(chosen).hasSize(2);
  }

  @Test
  void callThroughBrokenLinkIsAskedElsewhereAtOnce() {
    instances(2);
    final Future<LinkReply> reply = desk.ask("step", List.of("w"), SHORT).orElseThrow();
    open.get(0).fail("the link broke");
    assertThat(open).hasSize(2);
    open.get(1).fail("the link broke");
    assertThat(reply.result()).isInstanceOf(LinkReply.Failed.class);
  }

  @Test
  void goneInstanceIsNotAsked() {
    instances(2);
    desk.remove(helpers.get(1));
    assertThat(ask(SHORT)).isSameAs(helpers.get(0));
  }
}
