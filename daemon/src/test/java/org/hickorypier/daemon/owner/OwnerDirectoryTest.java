package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.time.Duration;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.platform.store.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OwnerDirectoryTest {

  private final Vertx vertx = Vertx.vertx();
  private final ManualTimerService timers = new ManualTimerService();
  private final OwnerDirectory directory =
      new OwnerDirectory(
          new StoreClient(new PooledHttpClient(vertx, 1), new ServiceAddress("127.0.0.1", 1)),
          timers,
          (part, event, fields) -> {},
          owner -> {});

  @AfterEach
  void close() {
    vertx.close();
  }

  private static OwnerRecord owner(int epoch) {
    return new OwnerRecord(epoch, "10.0.0.1:1", Strength.UNKNOWN);
  }

  /** Guards against a lost owner that is not replaced because this instance has just started. */
  @Test
  void firstOwnerThatIsReadIsNotNew() {
    directory.learn(owner(4));
    assertThat(directory.hasChangedWithin(1_000)).isFalse();
  }

  @Test
  void ownerThatReplacedAnotherIsNewForSomeTime() {
    directory.learn(owner(4));
    directory.learn(owner(5));
    timers.advance(Duration.ofMillis(900));
    assertThat(directory.hasChangedWithin(1_000)).isTrue();
    timers.advance(Duration.ofMillis(200));
    assertThat(directory.hasChangedWithin(1_000)).isFalse();
  }
}
