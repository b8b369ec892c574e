package org.hickorypier.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.wire.message.DigestBudget;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.PeerMessage.DigestChange;
import org.hickorypier.wire.message.PeerMessage.Heartbeat;
import org.hickorypier.wire.message.PeerMessage.Part;
import org.hickorypier.wire.message.PeerMessage.Question;
import org.hickorypier.wire.message.PeerMessage.Settled;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerLinkTest {

  private final ManualTimerService timers = new ManualTimerService();
  private final FakePeer caller = new FakePeer("entry-1", 1, timers);
  private final FakePeer callee = new FakePeer("entry-2", 1, timers);

  @BeforeEach
  void connect() {
    FakePeer.connect(caller, callee);
    FakePeer.deliver(caller, callee);
  }

  @Test
  void quietLinkLivesByHeartbeats() {
    for (int second = 0; second < 60; second++) {
      timers.advance(Duration.ofSeconds(1));
      FakePeer.deliver(caller, callee);
    }

    assertThat(caller.link.peer()).contains(callee.identity);
    assertThat(caller.events).containsExactly("up entry-2#1");
  }

  @Test
  void heartbeatIsSentOnlyWhenNothingElseWas() {
    for (int quarter = 0; quarter < 20; quarter++) {
      caller.link.tell(digest(quarter));
      timers.advance(Duration.ofMillis(250));
    }

    assertThat(caller.connection.holds(Heartbeat.class)).isFalse();
  }

  // The peer reads slowly while it is sent a long answer. Heartbeats and the newest digest go
  // between its parts, so the peer neither takes us for dead nor routes by an old digest.
  @Test
  void heartbeatAndNewestDigestGoBetweenParts() {
    callee.ask("a");
    FakePeer.deliver(caller, callee);
    caller.connection.full = true;
    caller.answer("a", new byte[300_000]);
    caller.link.tell(digest(1));
    caller.link.tell(digest(2));
    timers.advance(Duration.ofSeconds(1));
    caller.connection.full = false;
    caller.link.pump();

    List<PeerMessage> written = List.copyOf(caller.connection.written);
    assertThat(written.get(0)).isInstanceOf(Heartbeat.class);
    assertThat(written.get(1)).isInstanceOf(DigestChange.class);
    assertThat(written.subList(2, written.size())).hasSize(5).hasOnlyElementsOfType(Part.class);
    FakePeer.deliver(caller, callee);
    assertThat(callee.messages).containsExactly(digest(2));
  }

  // At 60 instances a digest a second would cost more than all control may. Digests become rarer,
  // but a new offset of the configuration and a drain are told with the next one.
  @Test
  void digestsToManyPeersAreRareButNewsIsNotKeptBack() {
    caller.linkCount = 59;
    int seconds = 600;
    for (int second = 0; second < seconds; second++) {
      timers.advance(Duration.ofSeconds(1));
      caller.link.tell(digest(7));
      FakePeer.deliver(caller, callee);
    }
    int share = DigestBudget.BYTES_PER_SECOND / caller.linkCount;
    assertThat(caller.connection.digestBytes / seconds).isBetween(share - 2, share + 2);
    callee.messages.clear();

    for (int offset = 8; offset < 18; offset++) {
      caller.link.tell(digest(offset));
      FakePeer.deliver(caller, callee);
    }
    assertThat(callee.messages).hasSize(10);
  }

  // A peer stops reading and callers keep coming. Past the bound each is told at once that its
  // request was not taken, and the daemon's memory stays where it is.
  @Test
  void slowPeerCostsBoundedMemory() {
    caller.connection.full = true;
    String text = "x".repeat(100_000);
    for (int count = 0; count < 200; count++) {
      caller.ask(text);
    }

    int fitting = Outbox.MAX_BYTES / text.length();
    assertThat(caller.ends).hasSize(200 - fitting).allMatch(end -> end.endsWith("not taken"));
  }

  @Test
  void answerTooLongIsRefused() {
    caller.ask("a");
    FakePeer.deliver(caller, callee);
    callee.answer("a", new byte[Outbox.MAX_MESSAGE_BYTES]);
    FakePeer.deliver(caller, callee);

    assertThat(caller.ends).containsExactly("a maybe taken");
  }

  @Test
  void refusalByTheOtherSideSaysThatItWasNotTaken() {
    caller.ask("a");
    FakePeer.deliver(caller, callee);
    callee.asked.get("a").fail(new PeerException("shutting down", false));
    caller.ask("b");
    FakePeer.deliver(caller, callee);
    callee.asked.get("b").fail(new IllegalStateException("broken"));
    FakePeer.deliver(caller, callee);

    assertThat(caller.ends).containsExactly("a not taken", "b maybe taken");
  }

  @Test
  void settledAnswersAreForgotten() {
    for (int count = 0; count < 3 * AnswerMemory.MAX_REMEMBERED; count++) {
      caller.ask("r" + count);
      FakePeer.deliver(caller, callee);
      callee.answer("r" + count, "1");
      FakePeer.deliver(caller, callee);
      if (count % 1_000 == 0) {
        timers.advance(Duration.ofMillis(250));
        assertThat(caller.connection.holds(Settled.class)).isTrue();
        FakePeer.deliver(caller, callee);
      }
    }

    assertThat(caller.ends).hasSize(3 * AnswerMemory.MAX_REMEMBERED);
    assertThat(caller.connection.closed).isFalse();
  }

  @Test
  void messageOutOfPlaceClosesTheLink() {
    caller.link.received(caller.connection, new PeerMessage.Proof(new byte[32]));

    assertThat(caller.connection.closed).isTrue();
  }

  @Test
  void callersDoNotWaitForMissingLink() {
    caller.link.disconnect("test");
    caller.ask("a");

    assertThat(caller.ends).containsExactly("a not taken");
    assertThat(caller.connection.holds(Question.class)).isFalse();
  }

  private static Digest digest(long offset) {
    return new Digest(offset, 0, true, 1, 1, 0, 1, List.of(0, 0, 0, 0, 0), List.of());
  }
}
