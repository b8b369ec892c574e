package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.core.model.Resources;
import org.junit.jupiter.api.Test;

class FormerOwnershipTest {

  private static RosterEntry entry(long leaseMillis) {
    WorkerEntry worker =
        new WorkerEntry("w", "service", "10.0.0.1:1", false, 0, Resources.NONE, List.of(), 1);
    return new RosterEntry(worker, 7, leaseMillis, Optional.of(List.of()));
  }

  @Test
  void messageHasTheRemainingLeaseTimesWhenItIsSent() {
    FormerOwnership former = new FormerOwnership(3, List.of(entry(3_000), entry(500)), 10_000);
    assertThat(former.toMessage(11_000).epoch()).isEqualTo(3);
    assertThat(former.toMessage(11_000).roster()).containsExactly(entry(2_000), entry(0));
  }
}
