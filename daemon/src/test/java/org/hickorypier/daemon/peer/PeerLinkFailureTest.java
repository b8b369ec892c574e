package org.hickorypier.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Part;
import org.hickorypier.wire.message.PeerMessage.Question;
import org.hickorypier.wire.message.PeerMessage.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeerLinkFailureTest {

  private static final byte[] LONG_ANSWER = new byte[300_000];

  private final ManualTimerService timers = new ManualTimerService();
  private final FakePeer caller = new FakePeer("entry-1", 1, timers);
  private FakePeer callee = new FakePeer("entry-2", 1, timers);

  // The caller has part of a long answer when the connection goes silent for good; new connections
  // work. After the limit of silence both ends drop it and link anew; the request goes out again
  // under its number and is answered from memory. The caller sees one whole answer, acted on once.
  @Test
  void linkSilentForGoodInMidAnswer() {
    FakePeer.connect(caller, callee);
    caller.ask("a");
    FakePeer.deliver(caller, callee);
    callee.answer("a", LONG_ANSWER);
    callee.deliverTo(caller, 2);
    assertThat(caller.ends).isEmpty();

    timers.advance(FakePeer.SILENCE.plusSeconds(1));
    assertThat(caller.connection.closed).isTrue();
    assertThat(caller.events).containsExactly("up entry-2#1", "down entry-2#1");
    FakePeer.connect(caller, callee);
    FakePeer.deliver(caller, callee);

    assertThat(caller.ends).containsExactly("a = 300000 bytes");
    assertThat(callee.actedOn).containsExactly("a");
  }

  // The connection dies before the callee has its answer, which comes while there is no link. It is
  // kept and goes out when the request comes again.
  @Test
  void answerThatComesWithoutLinkIsKept() {
    FakePeer.connect(caller, callee);
    caller.ask("a");
    FakePeer.deliver(caller, callee);
    timers.advance(FakePeer.SILENCE.plusSeconds(1));
    callee.answer("a", "1");

    FakePeer.connect(caller, callee);
    FakePeer.deliver(caller, callee);

    assertThat(caller.ends).containsExactly("a = 1");
    assertThat(callee.actedOn).containsExactly("a");
  }

  // Answers come in another order than the requests, twice, and after the caller has given up. Each
  // caller gets its own answer once; the rest is dropped.
  @Test
  void lateReorderedAndDuplicatedAnswersFindTheirCallers() {
    FakePeer.connect(caller, callee);
    caller.ask("a");
    caller.ask("b");
    caller.ask("c", Duration.ofSeconds(1));
    FakePeer.deliver(caller, callee);
    callee.answer("b", "2");
    FakePeer.deliver(caller, callee);
    timers.advance(Duration.ofSeconds(2));
    callee.answer("c", "3");
    callee.answer("a", "1");
    FakePeer.deliver(caller, callee);
    caller.link.received(caller.connection, new Reply(2, "9".getBytes()));
    caller.link.received(caller.connection, new Reply(77, "9".getBytes()));

    assertThat(caller.ends).containsExactly("b = 2", "c maybe taken", "a = 1");
    assertThat(caller.connection.closed).isFalse();
  }

  // Parts that leave a gap, promise too much or are empty are no message. The link is closed, the
  // caller sees nothing of them, and the request is settled on the next link.
  @ParameterizedTest
  @CsvSource({
    "65536, 65537, 300010, 65536", // a part is missing
    "65536, 65536, 300011, 65536", // another length than announced
    "65536, 65536, 300010, 0", // empty
    "5000000, 0, 5000000, 65536", // longer than any message may be
  })
  void bodyCutShortIsNeverHandedOn(int total, int offset, int nextTotal, int length) {
    FakePeer.connect(caller, callee);
    caller.ask("a");
    FakePeer.deliver(caller, callee);
    if (offset > 0) {
      caller.link.received(caller.connection, new Part(0, 300_010, new byte[total]));
    }
    caller.link.received(caller.connection, new Part(offset, nextTotal, new byte[length]));

    assertThat(caller.connection.closed).isTrue();
    assertThat(caller.ends).isEmpty();
    callee.answer("a", LONG_ANSWER);
    FakePeer.connect(caller, callee);
    FakePeer.deliver(caller, callee);
    assertThat(caller.ends).containsExactly("a = 300000 bytes");
  }

  // The peer is killed after it took a request, and starts again. Its memory is gone, so a
  // repetition could run the work twice. The caller hears "may have been taken" at once. What had
  // not left yet goes to the new incarnation.
  @Test
  void peerRestartedBetweenRequestAndAnswer() {
    FakePeer.connect(caller, callee);
    caller.ask("a");
    FakePeer.deliver(caller, callee);
    caller.connection.full = true;
    caller.ask("b");

    callee = new FakePeer("entry-2", 2, timers);
    FakePeer.connect(caller, callee);
    FakePeer.deliver(caller, callee);
    callee.answer("b", "2");
    FakePeer.deliver(caller, callee);

    assertThat(caller.ends).containsExactly("a maybe taken", "b = 2");
    assertThat(callee.actedOn).containsExactly("b");
  }

  // A peer is paused past the limit of silence with a request in hand, and resumes. We have linked
  // anew to it meanwhile. What the old connection still delivers is not read; the answer comes over
  // the new one, once.
  @Test
  void peerPausedAndResumed() {
    FakePeer.connect(caller, callee);
    caller.ask("a");
    FakePeer.deliver(caller, callee);
    final FakeConnection old = caller.connection;
    callee.answer("a", "1");
    final PeerMessage lateAnswer = callee.connection.written.getLast();
    timers.advance(FakePeer.SILENCE.plusSeconds(1));
    FakePeer.connect(caller, callee);

    caller.link.received(old, lateAnswer);
    assertThat(caller.ends).isEmpty();
    FakePeer.deliver(caller, callee);
    assertThat(caller.ends).containsExactly("a = 1");
    assertThat(callee.actedOn).containsExactly("a");
  }

  // A process was paused, its instance replaced under the same name, and it wakes up and dials.
  // Let in, the two would replace each other for ever. The older one is refused.
  @Test
  void olderIncarnationIsRefusedWhileTheNewerIsLinked() {
    FakePeer newer = new FakePeer("entry-2", 5, timers);
    FakePeer.connect(caller, newer);
    FakeConnection late = new FakeConnection();

    assertThat(caller.link.connected(late, callee.identity)).isFalse();
    assertThat(late.closed).isTrue();
    assertThat(caller.link.peer()).contains(newer.identity);
  }

  // The peer does not read, so the request waits here until its deadline and fails as not taken.
  // The caller may say "not run", so it must not leave afterwards when the peer reads again.
  @Test
  void requestThatFailedWhileItWaitedNeverLeaves() {
    FakePeer.connect(caller, callee);
    FakePeer.deliver(caller, callee);
    caller.connection.full = true;
    caller.ask("a", Duration.ofSeconds(1));
    timers.advance(Duration.ofSeconds(2));
    assertThat(caller.ends).containsExactly("a not taken");

    caller.connection.full = false;
    caller.link.pump();
    assertThat(caller.connection.holds(Question.class)).isFalse();
  }

  // An instance has forgotten a peer that was gone for long, and links to it again. The peer still
  // remembers earlier requests. Were numbers used again, the new request would get the old answer.
  @Test
  void linkMadeAnewGetsNoAnswerOfTheForgottenOne() {
    FakePeer.connect(caller, callee);
    caller.ask("old");
    caller.ask("slow");
    FakePeer.deliver(caller, callee);
    callee.answer("old", "1");
    FakePeer again = new FakePeer("entry-1", 1, timers);
    again.numbers = caller.numbers;
    FakePeer.connect(again, callee);
    again.ask("new");
    again.ask("other");
    FakePeer.deliver(again, callee);
    callee.answer("slow", "2");
    callee.answer("other", "4");
    callee.answer("new", "3");
    FakePeer.deliver(again, callee);

    assertThat(again.ends).containsExactly("other = 4", "new = 3");
  }

  // A connection dies and is replaced many times while requests are out. Each request is acted on
  // once and answered once, whatever was delivered before each end.
  @ParameterizedTest
  @CsvSource({"1", "2", "3", "4", "5", "6", "7", "8"})
  void manyBrokenLinksSettleEachRequestOnce(int seed) {
    java.util.Random random = new java.util.Random(seed);
    for (int round = 0; round < 40; round++) {
      FakePeer.connect(caller, callee);
      caller.ask("r" + round);
      for (int step = 0; step < 6; step++) {
        caller.deliverTo(callee, random.nextInt(3));
        List.copyOf(callee.asked.keySet()).stream()
            .filter(text -> random.nextInt(4) == 0)
            .forEach(text -> callee.answer(text, text.substring(1)));
        callee.deliverTo(caller, random.nextInt(3));
      }
      timers.advance(Duration.ofMillis(random.nextInt(600)));
    }
    FakePeer.connect(caller, callee);
    FakePeer.deliver(caller, callee);
    callee.asked.keySet().forEach(text -> callee.answer(text, text.substring(1)));
    FakePeer.deliver(caller, callee);

    assertThat(callee.actedOn).hasSize(40).doesNotHaveDuplicates();
    assertThat(caller.ends).hasSize(40).doesNotHaveDuplicates();
    assertThat(caller.ends).allMatch(end -> end.matches("r(\\d+) = \\1"));
  }
}
