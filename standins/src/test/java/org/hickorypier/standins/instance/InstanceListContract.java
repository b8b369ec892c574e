package org.hickorypier.standins.instance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.standins.contract.Calls.failure;
import static org.hickorypier.standins.contract.Calls.result;

import org.hickorypier.platform.instance.InstanceKind;
import org.hickorypier.platform.instance.InstanceList;
import org.hickorypier.platform.instance.InstanceListException;
import org.hickorypier.platform.instance.InstanceState;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.fault.ManualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What every instance list does, whatever carries the calls. */
abstract class InstanceListContract {

  private static final long LAG_MILLIS = 3_000;

  final ManualTime time = new ManualTime();
  final InMemoryInstanceList list = new InMemoryInstanceList(time, LAG_MILLIS);

  abstract InstanceList service();

  /** Returns a service whose timeouts are short, for calls that are never answered. */
  abstract InstanceList hastyService();

  abstract void plan(FaultPlan plan);

  @Test
  void showsTheWholeListOneLagLate() {
    ListedInstance entry =
        new ListedInstance(
            "entry1",
            InstanceKind.ENTRY,
            InstanceState.LIVE,
            "127.0.0.1:1",
            "127.0.0.1:2",
            "dc1",
            "r1");
    list.put(entry);
    list.put(worker(InstanceState.LIVE));

    assertThat(result(service().read())).isEmpty();
    time.advance(LAG_MILLIS);
    assertThat(result(service().read())).containsExactly(entry, worker(InstanceState.LIVE));

    list.put(worker(InstanceState.LEAVING));
    time.advance(LAG_MILLIS - 1);
    assertThat(result(service().read())).contains(worker(InstanceState.LIVE));
    list.remove("worker1");
    time.advance(1);
    assertThat(result(service().read())).contains(worker(InstanceState.LEAVING));
    time.advance(LAG_MILLIS);
    assertThat(result(service().read())).containsExactly(entry);
  }

  /** The caller sees an exception, never a list that is empty or cut short. */
  @ParameterizedTest
  @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void failsAndRecovers(Fault fault) {
    list.put(worker(InstanceState.LIVE));
    time.advance(LAG_MILLIS);
    plan(FaultPlan.once(FakeInstanceList.READ, fault));
    boolean silent = fault == Fault.SILENT_BEFORE_EFFECT || fault == Fault.SILENT_AFTER_EFFECT;

    Throwable failure = failure((silent ? hastyService() : service()).read());

    assertThat(failure).isInstanceOf(InstanceListException.class);
    assertThat(result(service().read())).hasSize(1);
  }

  private static ListedInstance worker(InstanceState state) {
    return new ListedInstance(
        "worker1", InstanceKind.WORKER, state, "127.0.0.1:3", "", "dc2", "r2");
  }
}
