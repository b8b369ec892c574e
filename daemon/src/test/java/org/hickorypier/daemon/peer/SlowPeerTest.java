package org.hickorypier.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hickorypier.wire.message.PeerMessage.ConfigurationPush;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SlowPeerTest {

  private static final int PUSHES = 5_000;

  private Vertx vertx;
  private PeerNode first;
  private PeerNode second;

  @BeforeEach
  void start() {
    vertx = Vertx.vertx();
    first = node("entry-1");
    second = node("entry-2");
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
    vertx.close();
  }

  // The control thread of one instance is busy while its peer sends thousands of messages. Once it
  // is free, all arrive in order. That they wait in the sockets is in PeerConnectionTest.
  @Test
  void busyControlThreadLosesNothing() throws Exception {
    PeerNode.join(first, second);
    assertThat(second.nextEvent()).isEqualTo("up entry-1#1");
    assertThat(first.nextEvent()).isEqualTo("up entry-2#1");
    CountDownLatch busy = new CountDownLatch(1);
    second.onControl(() -> awaitQuietly(busy));
    for (int offset = 0; offset < PUSHES; offset++) {
      first.network.broadcast(new ConfigurationPush(offset, new byte[1_000]));
    }
    CountDownLatch written = new CountDownLatch(1);
    first.onControl(written::countDown);
    assertThat(written.await(5, TimeUnit.SECONDS)).isTrue();
    busy.countDown();

    for (int offset = 0; offset < PUSHES; offset++) {
      ConfigurationPush push = (ConfigurationPush) second.messages.poll(5, TimeUnit.SECONDS);
      assertThat(push.offset()).isEqualTo(offset);
    }
  }

  // A peer stops reading altogether. What it does not take waits up to the outbox's bound and is
  // dropped beyond it; without the bound 40 MB would pile up in the daemon's memory.
  @Test
  void peerThatDoesNotReadCostsBoundedMemory() throws Exception {
    try (RawPeer deaf = new RawPeer(second.port)) {
      deaf.authenticate(new PeerIdentity("entry-0", 1), PeerNode.SECRET);
      assertThat(second.nextEvent()).isEqualTo("up entry-0#1");
      for (int count = 0; count < 640; count++) {
        second.network.broadcast(new ConfigurationPush(count, new byte[64_000]));
      }
      CountDownLatch written = new CountDownLatch(1);
      second.onControl(written::countDown);

      assertThat(written.await(5, TimeUnit.SECONDS)).isTrue();
      assertThat(second.counters.droppedCount("ConfigurationPush")).isPositive();
    }
  }

  private PeerNode node(String name) {
    return new PeerNode(vertx, name, 1, PeerNode.SECRET, PeerNode::echo, Duration.ofSeconds(10));
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException error) {
      Thread.currentThread().interrupt();
    }
  }
}
