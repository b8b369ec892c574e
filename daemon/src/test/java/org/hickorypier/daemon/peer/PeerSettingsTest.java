package org.hickorypier.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.hickorypier.daemon.time.ManualTimerService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeerSettingsTest {

  // With the shortest settings a look every 250 ms would send heartbeats later than the limit of
  // silence, and every quiet link would be closed again and again.
  @ParameterizedTest
  @CsvSource({"50, 150", "500, 1500", "1000, 3500"})
  void quietLinkLivesWithAnyAllowedTimes(int heartbeat, int silence) {
    PeerSettings settings = settings(16, heartbeat, silence);
    ManualTimerService timers = new ManualTimerService();
    FakePeer one = new FakePeer("entry-1", 1, timers, settings);
    FakePeer other = new FakePeer("entry-2", 1, timers, settings);
    FakePeer.connect(one, other);

    for (int passed = 0; passed < 60_000; passed += 10) {
      timers.advance(Duration.ofMillis(10));
      FakePeer.deliver(one, other);
    }

    assertThat(one.events).containsExactly("up entry-2#1");
  }

  @Test
  void settingsThatCannotWorkAreRefused() {
    assertThatThrownBy(() -> settings(15, 500, 1_500)).hasMessageContaining("16 bytes");
    assertThatThrownBy(() -> settings(16, 500, 1_499)).hasMessageContaining("heartbeat");
    assertThat(settings(16, 500, 1_500).toString()).doesNotContain("secret");
  }

  private static PeerSettings settings(int secretBytes, int heartbeat, int silence) {
    return new PeerSettings(
        new PeerIdentity("entry-1", 1),
        "",
        0,
        new byte[secretBytes],
        Duration.ofMillis(heartbeat),
        Duration.ofMillis(silence));
  }
}
