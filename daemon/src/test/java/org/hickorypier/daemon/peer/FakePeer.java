package org.hickorypier.daemon.peer;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Answer;
import org.hickorypier.wire.message.PeerMessage.Question;
import org.hickorypier.wire.message.PeerMessage.Reply;
import org.hickorypier.wire.message.PeerMessage.Request;

/** One end of a link with a handler that answers when the test says so, and a log of all ends. */
final class FakePeer implements LinkOwner {

  static final Duration SILENCE = PeerSettings.DEFAULT_SILENCE;

  final List<String> events = new ArrayList<>();
  final List<String> ends = new ArrayList<>();
  final List<PeerMessage> messages = new ArrayList<>();
  final Map<String, UniEmitter<? super Answer>> asked = new HashMap<>();
  final List<String> actedOn = new ArrayList<>();
  final PeerIdentity identity;
  final PeerLink link;
  private final ManualTimerService timers;
  FakeConnection connection;
  int linkCount = 1;
  AtomicLong numbers = new AtomicLong();

  FakePeer(String name, long incarnation, ManualTimerService timers) {
    this(
        name,
        incarnation,
        timers,
        new PeerSettings(
            new PeerIdentity(name, incarnation), "", 0, new byte[PeerSettings.LEAST_SECRET_BYTES]));
  }

  FakePeer(String name, long incarnation, ManualTimerService timers, PeerSettings settings) {
    this.timers = timers;
    identity = new PeerIdentity(name, incarnation);
    link = new PeerLink(settings, timers, PeerCounters.NONE, this);
    timers.every(settings.tick(), link::tick);
  }

  /** Replaces the connection between two ends. */
  static void connect(FakePeer one, FakePeer other) {
    one.connection = new FakeConnection();
    other.connection = new FakeConnection();
    one.link.connected(one.connection, other.identity);
    other.link.connected(other.connection, one.identity);
  }

  /** Delivers what both ends have written, until there is no more. */
  static void deliver(FakePeer one, FakePeer other) {
    while (!one.connection.written.isEmpty() || !other.connection.written.isEmpty()) {
      one.deliverTo(other, Integer.MAX_VALUE);
      other.deliverTo(one, Integer.MAX_VALUE);
    }
  }

  /** Delivers the first messages that this end has written. */
  void deliverTo(FakePeer other, int most) {
    for (int count = 0; count < most && !connection.written.isEmpty(); count++) {
      other.link.received(other.connection, connection.written.remove());
    }
  }

  void ask(String text) {
    ask(text, Duration.ofSeconds(60));
  }

  void ask(String text, Duration timeout) {
    link.request(
        new Question(PeerMessage.NO_CORRELATION, "query", text),
        timers.nowMillis() + timeout.toMillis(),
        new AnswerReceiver() {
          @Override
          public void answered(Answer answer) {
            byte[] data = ((Reply) answer).data();
            ends.add(text + " = " + (data.length > 9 ? data.length + " bytes" : new String(data)));
          }

          @Override
          public void failed(PeerException error) {
            ends.add(text + (error.mayHaveBeenTaken() ? " maybe taken" : " not taken"));
          }
        });
  }

  void answer(String text, String answer) {
    answer(text, answer.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
  }

  void answer(String text, byte[] answer) {
    asked.get(text).complete(new Reply(PeerMessage.NO_CORRELATION, answer));
  }

  @Override
  public long nextCorrelation() {
    return numbers.incrementAndGet();
  }

  @Override
  public int linkCount() {
    return linkCount;
  }

  @Override
  public void up(PeerIdentity peer) {
    events.add("up " + peer);
  }

  @Override
  public void down(PeerIdentity peer) {
    events.add("down " + peer);
  }

  @Override
  public void message(PeerIdentity peer, PeerMessage message) {
    messages.add(message);
  }

  @Override
  public Uni<? extends Answer> request(PeerIdentity peer, Request request) {
    String text = ((Question) request).text();
    actedOn.add(text);
    return Uni.createFrom().<Answer>emitter(emitter -> asked.put(text, emitter));
  }
}
