package org.hickorypier.measure.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CountersTest {

  @Test
  void ownCountersAreNamedByTheirLabels() {
    String text =
        """
        # HELP hickorypier_peer_bytes_total
        hickorypier_peer_bytes_total{direction="sent",kind="Digest"} 1234.0
        hickorypier_worker_calls_total{call="renew"} 2.0E3
        hickory_waiting_seconds_count{team="a"} 7
        """;

    assertThat(MetricsText.counters(text))
        .isEqualTo(Map.of("peer.bytes.sent.Digest", 1234.0, "worker.calls.renew", 2000.0));
  }

  @Test
  void socketsOfOneProcessAreCountedSinceTheEarlierReading() {
    String line =
        "0 0 [::ffff:127.0.0.1]:%d 127.0.0.1:%d users:((\"java\",pid=%d,fd=9)) bbr"
            + " bytes_sent:%d bytes_acked:5 bytes_received:%d%n";
    SocketCounters before = SocketCounters.parse(line.formatted(50, 90, 7, 100, 10), 7);
    SocketCounters after =
        SocketCounters.parse(
            line.formatted(50, 90, 7, 130, 30)
                + line.formatted(51, 90, 7, 8, 0)
                + line.formatted(52, 91, 7, 1_000, 0)
                + line.formatted(53, 90, 77, 1_000, 0),
            7);

    assertThat(after.bytesSince(before, Set.of(90))).isEqualTo(30 + 20 + 8);
  }
}
