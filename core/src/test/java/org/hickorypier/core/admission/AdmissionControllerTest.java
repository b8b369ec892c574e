package org.hickorypier.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.junit.jupiter.api.Test;

/** Guards against refusals of work that can be done in time, and against overtaking on return. */
class AdmissionControllerTest {

  private static final long RUN = 1_000;
  private static final long LIMIT = 9_000;
  private static final Resources TASK = new Resources(1_000, 1_000, 0);
  private static final Resources CAPACITY = new Resources(10_000, 100_000, 0);

  private final AdmissionController controller = new AdmissionController(new EstimateErrors());

  private static Backlog backlog(WorkGroup... groups) {
    return backlog(Map.of(), groups);
  }

  private static Backlog backlog(Map<String, Resources> limits, WorkGroup... groups) {
    return new Backlog(
        0, true, Map.of(new Backlog.Pool("service", ""), CAPACITY), limits, List.of(groups));
  }

  /** Creates work that takes the whole cell for a number of seconds. */
  private static WorkGroup work(Place place, double seconds, int unitSize, String customer) {
    double cores = seconds * 1_000 * CAPACITY.milliProcessors();
    WorkUnit unit = new WorkUnit(unitSize, TASK);
    return new WorkGroup("service", customer, "", place, false, unit, 60_000, 1, RUN, cores, 1);
  }

  private static Place place(int band, int priority, boolean late, long deadline) {
    return new Place(band, priority, late, deadline);
  }

  private static AdmissionRequest request(String id) {
    StepDemand step =
        new StepDemand(new WorkUnit(1, TASK), "", RUN, RUN, 5 * RUN * 1_000, 5 * RUN * 1_000);
    return new AdmissionRequest(
        id, "customer", "queue", "service", place(0, 1, false, 3_000), LIMIT, true, List.of(step));
  }

  private boolean accepts(Backlog backlog) {
    return controller.decide(request("a"), backlog, 0).accepted();
  }

  @Test
  void countsOnlyWorkThatIsPlacedFirst() {
    assertThat(accepts(backlog(work(place(0, 1, false, 2_000), 30, 1, "other")))).isFalse();
    assertThat(accepts(backlog(work(place(0, 0, true, 9_000), 30, 1, "other")))).isFalse();
    assertThat(accepts(backlog(work(place(0, 1, false, 4_000), 30, 1, "other")))).isTrue();
    assertThat(accepts(backlog(work(place(0, 1, true, 2_000), 30, 1, "other")))).isTrue();
    assertThat(accepts(backlog(work(place(0, 2, false, 2_000), 30, 1, "other")))).isTrue();
    assertThat(accepts(backlog(work(place(1, 0, false, 2_000), 30, 1, "other")))).isTrue();
  }

  @Test
  void acceptsWhatCanBeWorkedOffInTime() {
    assertThat(accepts(backlog(work(place(0, 1, false, 2_000), 8, 1, "other")))).isTrue();
  }

  @Test
  void ignoresGangsThatDoNotFitWhereTheNewcomerFits() {
    assertThat(accepts(backlog(work(place(0, 0, false, 2_000), 30, 8, "other")))).isTrue();
  }

  @Test
  void countsAnotherCustomersWorkUpToItsLimitOnly() {
    WorkGroup other = work(place(0, 0, false, 2_000), 30, 1, "other");
    assertThat(accepts(backlog(Map.of("other", new Resources(2_000, 0, 0)), other))).isTrue();
  }

  @Test
  void refusesWorkOverTheCustomersOwnLimit() {
    WorkGroup own = work(place(0, 1, false, 2_000), 4, 1, "customer");
    assertThat(accepts(backlog(own))).isTrue();
    AdmissionDecision decision =
        controller.decide(
            request("a"), backlog(Map.of("customer", new Resources(2_000, 0, 0)), own), 0);
    assertThat(decision.accepted()).isFalse();
    assertThat(decision.reason()).contains("limit");
  }

  @Test
  void acceptsWhenTooLittleIsKnown() {
    Backlog full = backlog(work(place(0, 1, false, 2_000), 30, 1, "other"));
    assertThat(accepts(new Backlog(0, false, full.capacities(), Map.of(), full.groups()))).isTrue();
    assertThat(accepts(new Backlog(0, true, Map.of(), Map.of(), full.groups()))).isTrue();
  }

  @Test
  void estimatesThatProvedTooLongRefuseLess() {
    EstimateErrors errors = new EstimateErrors();
    for (int index = 0; index < 100; index++) {
      errors.record("queue", 10_000, 3_000);
    }
    AdmissionController corrected = new AdmissionController(errors);
    Backlog full = backlog(work(place(0, 1, false, 2_000), 14, 1, "other"));
    assertThat(accepts(full)).isFalse();
    assertThat(corrected.decide(request("a"), full, 0).accepted()).isTrue();
  }

  @Test
  void returnsInItsSlotBeforeNewcomersAndNotOtherwise() {
    Backlog full = backlog(work(place(0, 1, false, 2_000), 13.5, 1, "other"));
    // Each promise is for half a second of the cell; 30 of them fill more than the limit.
    List<Long> delays = new ArrayList<>();
    for (int index = 0; index < 30; index++) {
      delays.add(controller.decide(request("p" + index), full, 0).retryAfterMillis());
    }
    assertThat(delays).isSorted().allMatch(delay -> delay % 1_000 == 0);
    assertThat(delays.get(0)).isEqualTo(2_000);
    assertThat(delays.get(29)).isBetween(6_000L, 10_000L);
    Backlog drained = backlog(work(place(0, 1, false, 2_000), 9.5, 1, "other"));
    AdmissionDecision early = controller.decide(request("p0"), drained, 500);
    assertThat(early.accepted()).isFalse();
    assertThat(early.retryAfterMillis()).isEqualTo(2_000);
    assertThat(controller.decide(request("new"), drained, 2_500).accepted()).isFalse();
    assertThat(controller.decide(request("p0"), drained, 2_500).accepted()).isTrue();
    // The next one is past its slot.
    assertThat(controller.decide(request("p1"), drained, 6_100).accepted()).isFalse();
  }

  @Test
  void repeatedRefusalKeepsItsPlace() {
    ReturnSchedule schedule = new ReturnSchedule();
    schedule.promise(request("first"), 1_000, 0);
    schedule.promise(request("second"), 1_000, 0);
    schedule.promise(request("first"), 1_000, 1_000);
    assertThat(schedule.ahead("first", 2_500)).isEmpty();
    assertThat(schedule.ahead("second", 2_500)).hasSize(1);
    assertThat(schedule.ahead("newcomer", 2_500)).hasSize(2);
  }

  @Test
  void promisesAreBoundedAndExpire() {
    ReturnSchedule schedule = new ReturnSchedule();
    for (int index = 0; index <= ReturnSchedule.MAX_PROMISES; index++) {
      schedule.promise(request("p" + index), 1_000, 0);
    }
    assertThat(schedule.size()).isEqualTo(ReturnSchedule.MAX_PROMISES);
    schedule.ahead("newcomer", ReturnSchedule.PROMISE_MILLIS + 1);
    assertThat(schedule.size()).isZero();
  }
}
