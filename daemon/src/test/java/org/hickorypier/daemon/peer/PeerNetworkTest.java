package org.hickorypier.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickorypier.wire.message.PeerMessage.ConfigurationPush;
import org.hickorypier.wire.message.PeerMessage.Question;
import org.hickorypier.wire.message.PeerMessage.Reply;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {

  private static Vertx vertx;

  private PeerNode first;
  private PeerNode second;

  @BeforeAll
  static void startVertx() {
    vertx = Vertx.vertx();
  }

  @AfterAll
  static void stopVertx() {
    vertx.close();
  }

  @BeforeEach
  void startNodes() {
    first = new PeerNode(vertx, "entry-1", 10, PeerNode.SECRET);
    second = new PeerNode(vertx, "entry-2", 20, PeerNode.SECRET);
  }

  @AfterEach
  void stopNodes() {
    first.close();
    second.close();
  }

  @Test
  void bothSidesAskAndTellOverOneLink() throws Exception {
    PeerNode.join(first, second);

    assertThat(first.nextEvent()).isEqualTo("up entry-2#20");
    assertThat(second.nextEvent()).isEqualTo("up entry-1#10");
    assertThat(first.network.livePeers()).isEqualTo(Set.of(second.identity));
    assertThat(first.ask("entry-2", "a")).isEqualTo("entry-1#10 asked a");
    assertThat(second.ask("entry-1", "b")).isEqualTo("entry-2#20 asked b");

    first.network.broadcast(new ConfigurationPush(7, new byte[] {1}));
    assertThat(second.messages.poll(5, TimeUnit.SECONDS))
        .usingRecursiveComparison()
        .isEqualTo(new ConfigurationPush(7, new byte[] {1}));
  }

  @Test
  void answerOfSeveralMegabytesComesWhole() throws Exception {
    byte[] body = new byte[3 * 1024 * 1024];
    new java.util.Random(1).nextBytes(body);
    try (PeerNode third =
        new PeerNode(
            vertx,
            "entry-3",
            30,
            PeerNode.SECRET,
            (peer, request) -> io.smallrye.mutiny.Uni.createFrom().item(new Reply(0, body)))) {
      PeerNode.join(first, third);
      assertThat(first.nextEvent()).isEqualTo("up entry-3#30");

      Reply reply =
          (Reply)
              first
                  .network
                  .request("entry-3", new Question(0, "query", "all"), Duration.ofSeconds(5))
                  .await()
                  .atMost(Duration.ofSeconds(6));

      assertThat(reply.data()).isEqualTo(body);
    }
  }

  // An instance is killed and starts again under its name. The caller sees: the old incarnation
  // goes down, the new one comes up, and the next request is answered by the new one.
  @Test
  void restartedInstanceReplacesTheOldLink() throws Exception {
    PeerNode.join(first, second);
    assertThat(first.nextEvent()).isEqualTo("up entry-2#20");

    second.close();
    assertThat(first.nextEvent()).isEqualTo("down entry-2#20");
    second = new PeerNode(vertx, "entry-2", 21, PeerNode.SECRET);
    PeerNode.join(first, second);

    assertThat(first.nextEvent()).isEqualTo("up entry-2#21");
    assertThat(first.ask("entry-2", "again")).isEqualTo("entry-1#10 asked again");
  }

  @Test
  void shutdownFailsWhatIsOpen() throws Exception {
    try (PeerNode mute =
        new PeerNode(
            vertx,
            "entry-3",
            30,
            PeerNode.SECRET,
            (peer, request) -> io.smallrye.mutiny.Uni.createFrom().nothing())) {
      PeerNode.join(first, mute);
      assertThat(first.nextEvent()).isEqualTo("up entry-3#30");
      var answer =
          first
              .network
              .request("entry-3", new Question(0, "q", "t"), Duration.ofSeconds(60))
              .subscribeAsCompletionStage();
      first.network.close().await().atMost(Duration.ofSeconds(5));

      assertThat(answer)
          .failsWithin(Duration.ofSeconds(5))
          .withThrowableThat()
          .withCauseInstanceOf(PeerException.class);
    }
  }

  @Test
  void requestWithoutLinkFailsAsNotTaken() {
    Throwable thrown =
        catchThrowable(
            () ->
                first
                    .network
                    .request("entry-9", new Question(0, "q", "t"), Duration.ofSeconds(5))
                    .await()
                    .atMost(Duration.ofSeconds(6)));

    assertThat(thrown.getCause())
        .isInstanceOfSatisfying(
            PeerException.class, error -> assertThat(error.mayHaveBeenTaken()).isFalse());
  }

  // An instance with another secret dials. Neither side ever reports it up, and it gets nothing but
  // a greeting; the other links go on.
  @Test
  void instanceWithAnotherSecretStaysOutside() throws Exception {
    byte[] wrong = "some other secret, 24 by".getBytes(StandardCharsets.UTF_8);
    try (PeerNode stranger = new PeerNode(vertx, "entry-0", 1, wrong)) {
      PeerNode.join(first, second, stranger);

      assertThat(first.nextEvent()).isEqualTo("up entry-2#20");
      assertThat(second.nextEvent()).isEqualTo("up entry-1#10");
      assertThat(first.ask("entry-2", "a")).isEqualTo("entry-1#10 asked a");
      assertThat(stranger.events).isEmpty();
      assertThat(first.events).isEmpty();
    }
  }
}
