package org.hickorypier.daemon.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.permits.Holder;
import org.hickorypier.core.permits.PermitDemand;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.wire.record.PermitRecord.Fence;
import org.junit.jupiter.api.Test;

class PermitServiceTest {

  private static final Holder SELF = new Holder("entry-1", 7);

  private final List<String> told = new ArrayList<>();
  private final PermitService permits =
      new PermitService(SELF, new NoWork(), new ManualTimerService(), Runnable::run);

  // An instance that does not learn of its fence claims workers on which it can start nothing.
  @Test
  void fencedInstanceHearsOfItOnce() {
    permits.onFenced(() -> told.add("fenced"));

    permits.onRecord(0, new Fence(SELF.instance(), SELF.incarnation(), 0));
    permits.onRecord(1, new Fence(SELF.instance(), SELF.incarnation(), 0));

    assertThat(told).containsExactly("fenced");
  }

  // A new incarnation reads the fence of the one before it and would start anew for ever.
  @Test
  void fenceOfAnEarlierIncarnationIsNotItsOwn() {
    permits.onFenced(() -> told.add("fenced"));

    permits.onRecord(0, new Fence(SELF.instance(), SELF.incarnation() - 1, 0));

    assertThat(told).isEmpty();
  }

  private static final class NoWork implements PermitWork {

    @Override
    public PermitDemand demand(String team) {
      return new PermitDemand(0, 0, 0);
    }

    @Override
    public Map<Holder, PermitDemand> others(String team) {
      return Map.of();
    }

    @Override
    public int coveredElsewhere(String team) {
      return 0;
    }

    @Override
    public void use(String team, int count) {
      // No team has permits here.
    }

    @Override
    public void mayStartOn(String worker) {
      // No worker is spoken for here.
    }
  }
}
