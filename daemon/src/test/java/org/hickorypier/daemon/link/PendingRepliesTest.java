package org.hickorypier.daemon.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.time.Duration;
import org.hickorypier.daemon.time.ManualTimerService;
import org.junit.jupiter.api.Test;

class PendingRepliesTest {

  private static final long TIMEOUT_MILLIS = 500;
  private static final Duration TIMEOUT = Duration.ofMillis(TIMEOUT_MILLIS);

  private final ManualTimerService timers = new ManualTimerService();
  private int silences;
  private final PendingReplies pending = new PendingReplies(timers, () -> silences++);

  @Test
  void linkWithoutAnyFrameIsSilent() {
    Future<LinkReply> reply = pending.register(TIMEOUT_MILLIS).reply();
    timers.advance(TIMEOUT);
    assertThat(reply.failed()).isTrue();
    assertThat(silences).isEqualTo(1);
  }

  /** Failure: an owner behind with its work loses its links, and each new one brings all again. */
  @Test
  void lateReplyOnLinkThatCarriesOtherFramesIsNoSilence() {
    final Future<LinkReply> late = pending.register(TIMEOUT_MILLIS).reply();
    timers.advance(TIMEOUT.dividedBy(2));
    pending.recordFrame();
    timers.advance(TIMEOUT);
    assertThat(late.failed()).isTrue();
    assertThat(silences).isZero();
  }

  /** Failure: requests are lost on a link that goes on to bring requests of the other side. */
  @Test
  void linkWithoutReplyForSecondsIsSilent() {
    long sentMillis = 0;
    while (sentMillis < PendingReplies.MAX_MILLIS_WITHOUT_REPLY) {
      assertThat(silences).isZero();
      pending.register(TIMEOUT_MILLIS);
      pending.recordFrame();
      timers.advance(TIMEOUT);
      sentMillis += TIMEOUT_MILLIS;
    }
    assertThat(silences).isEqualTo(1);
  }

  @Test
  void linkThatFallsSilentLaterIsFound() {
    pending.recordFrame();
    timers.advance(TIMEOUT);
    pending.register(TIMEOUT_MILLIS);
    timers.advance(TIMEOUT);
    assertThat(silences).isEqualTo(1);
  }

  @Test
  void replyEndsRequestOnce() {
    PendingReplies.Registration request = pending.register(TIMEOUT_MILLIS);
    pending.recordFrame();
    pending.complete(request.requestNumber(), new LinkReply.Noted());
    pending.complete(request.requestNumber(), new LinkReply.Failed());
    timers.advance(TIMEOUT);
    assertThat(request.reply().result()).isEqualTo(new LinkReply.Noted());
    assertThat(silences).isZero();
  }

  @Test
  void closedLinkFailsItsRequests() {
    Future<LinkReply> reply = pending.register(TIMEOUT_MILLIS).reply();
    pending.failAll();
    timers.advance(TIMEOUT);
    assertThat(reply.failed()).isTrue();
    assertThat(silences).isZero();
  }
}
