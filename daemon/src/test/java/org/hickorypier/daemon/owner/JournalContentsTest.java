package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.estimation.WorkerSpeed;
import org.hickorypier.core.estimation.WorkerSpeedCodec;
import org.junit.jupiter.api.Test;

class JournalContentsTest {

  private final List<String> events = new ArrayList<>();

  private JournalContents contents(Map<String, byte[]> values) {
    return new JournalContents(values, (part, event, fields) -> events.add(event));
  }

  @Test
  void speedsAreRestored() {
    List<WorkerSpeed> speeds = List.of(new WorkerSpeed("w", "service", "kind", 7, 1.5, 3));
    byte[] record = WorkerSpeedCodec.encode(speeds);
    assertThat(contents(Map.of(JournalKeys.SPEEDS, record)).speeds()).isEqualTo(speeds);
  }

  /** Guards against a takeover that fails on a record which the successor can do without. */
  @Test
  void missingAndUnreadableSpeedsAreLearnedAnew() {
    assertThat(contents(Map.of()).speeds()).isEmpty();
    assertThat(events).isEmpty();
    assertThat(contents(Map.of(JournalKeys.SPEEDS, new byte[] {9, 9})).speeds()).isEmpty();
    assertThat(events).containsExactly("unreadable-record");
  }
}
