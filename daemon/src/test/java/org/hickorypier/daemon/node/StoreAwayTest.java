package org.hickorypier.daemon.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against callers that are refused although their submission runs, and against callers that
 * may not retry although nothing was written, while the store is away for all instances.
 */
class StoreAwayTest {

  private static final int SUBMISSIONS = 40;
  private static final int PERIOD_MILLIS = 30;
  private static final long OUTAGE_MILLIS = 4_000;
  private static final long LATE_MILLIS = 300;

  /** The most appends in flight, each with the submissions of 8 ms, fewer than two here. */
  private static final int MAX_UNKNOWN = 3;

  @ParameterizedTest
  @EnumSource(names = {"UNAVAILABLE", "SILENT_AFTER_EFFECT", "LATE_EFFECT"})
  void onlySubmissionsOfCarriedAppendsHaveUnknownOutcome(Fault fault) throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 20)) {
      List<SmallCluster.Instance> instances = List.of(cluster.start(), cluster.start());
      cluster.waitUntil(() -> cluster.hasLogged(instances.get(1), "owner-linked"));
      cluster.waitUntil(() -> cluster.submit(instances.get(1), "f".repeat(16), 1).status() == 200);
      long began = System.nanoTime();
      cluster.storeServer.gate().plan(new FaultPlan("", fault, -1, LATE_MILLIS));
      Map<String, RawCaller> callers = new LinkedHashMap<>();
      for (int index = 0; index < SUBMISSIONS; index++) {
        String id = "b%015x".formatted(index);
        RawCaller caller =
            new RawCaller(cluster.connect(instances.get(index % 2).settings().front()));
        callers.put(id, caller.submit(id));
        SmallCluster.await(cluster.vertx.timer(PERIOD_MILLIS));
      }
      long left = OUTAGE_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
      // The submissions take longer than the outage on a machine that is overloaded.
      SmallCluster.await(cluster.vertx.timer(Math.max(1, left)));
      cluster.storeServer.gate().plan(FaultPlan.NONE);
      cluster.waitUntil(() -> callers.values().stream().allMatch(RawCaller::hasResponse));
      cluster.waitUntil(() -> cluster.submit(instances.get(0), "e".repeat(16), 1).status() == 200);
      cluster.waitUntil(() -> cluster.state(instances.get(0), "e".repeat(16)).equals("completed"));

      List<String> unknown = new ArrayList<>();
      callers.forEach(
          (id, caller) -> {
            if (caller.responseCount("504") == 1) {
              unknown.add(id);
            } else {
              assertThat(caller.responseCount("503")).as(caller.receivedText()).isEqualTo(1);
              assertThat(caller.receivedText()).contains("Retry-After: ");
              assertThat(cluster.state(instances.get(0), id)).isEqualTo("410");
              assertThat(cluster.starts()).noneMatch(start -> start.contains(id));
            }
          });
      assertThat(unknown).hasSizeLessThanOrEqualTo(fault == Fault.UNAVAILABLE ? 0 : MAX_UNKNOWN);
      for (String id : unknown) {
        cluster.waitUntil(
            () -> List.of("completed", "410").contains(cluster.state(instances.get(0), id)));
      }
    }
  }
}
