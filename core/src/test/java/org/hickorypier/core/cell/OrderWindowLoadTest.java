package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays submissions whose tasks all have room at once, and whose orders carry a long text. */
class OrderWindowLoadTest {

  private static final int WORKERS = 32;
  private static final int TEXT_BYTES = 4_000;

  /** An eighth of the heap of 72 MiB that an instance has. */
  private static final long ORDER_BYTES = 9L << 20;

  private static final long CHECK_INTERVAL_MILLIS = 1_000;
  private static final long MAX_MILLIS = 60_000;
  private static final QueueTerms CHECKS = queue("checks", 0);
  private static final QueueTerms BATCHES = queue("batches", 1);
  private static final StepSpec CHECK = step(2, 1_000, 500, false);

  private final FakeFleet fleet = new FakeFleet(new CellFixture(1), WORKERS);
  private final List<String> checks = new ArrayList<>();

  private static QueueTerms queue(String name, int priority) {
    return new QueueTerms(name, "service", priority, 3, 2, 60_000, Optional.empty());
  }

  private static SubmissionSpec large(String id, int count, boolean gang) {
    StepSpec tasks =
        new StepSpec(
            count,
            new Resources(25, 25, 0),
            4_000,
            List.of(),
            new StepFlags(gang, false, false, false, false, false),
            "",
            "",
            0,
            "",
            0,
            0);
    String text = "t".repeat(TEXT_BYTES);
    return new SubmissionSpec(id, "customer", BATCHES, text, List.of(tasks), 0, 0, 0, 0);
  }

  private void submitCheck() {
    String check = "check-" + checks.size();
    fleet.submit(spec(check, CHECKS, CHECK));
    checks.add(check);
  }

  /** Submits a check each second until some submissions are completed, and checks that all are. */
  private void assertCompletedBesideChecks(List<String> ids) {
    long end = fleet.owner.now + MAX_MILLIS;
    while (fleet.owner.now < end && !areCompleted(ids)) {
      submitCheck();
      fleet.advance(CHECK_INTERVAL_MILLIS);
    }
    fleet.advance(3 * CHECK_INTERVAL_MILLIS);
    assertThat(ids).allMatch(this::isCompleted);
    assertThat(checks).allMatch(this::isCompleted);
  }

  private boolean areCompleted(List<String> ids) {
    return ids.stream().allMatch(this::isCompleted);
  }

  private boolean isCompleted(String id) {
    return fleet.states.get(id) == SubmissionState.COMPLETED;
  }

  /** Guards against start orders that together take more memory than an instance has. */
  @ParameterizedTest
  @CsvSource({"20000, 1", "30000, 1", "5000, 4"})
  void memoryOfOrdersInTransitIsBounded(int tasks, int submissions) {
    fleet.owner.cell.limitOrders(ORDER_BYTES);
    List<String> ids = new ArrayList<>();
    for (int index = 0; index < submissions; index++) {
      ids.add("large-" + index);
      fleet.submit(large("large-" + index, tasks, false));
    }
    assertCompletedBesideChecks(ids);
    assertThat((long) fleet.mostOrdersInTransit * TEXT_BYTES).isLessThanOrEqualTo(ORDER_BYTES);
  }

  /** Guards against urgent work that waits behind the orders of a large submission. */
  @Test
  void urgentOrdersHaveRoomBesideLargeSubmission() {
    fleet.owner.cell.limitOrders(ORDER_BYTES);
    submitCheck();
    fleet.advance(CHECK_INTERVAL_MILLIS);
    fleet.submit(large("large", 20_000, false));
    // No order is answered meanwhile, so that the room for work that is not urgent is taken.
    int starts = fleet.owner.starts.size();
    fleet.submit(spec("urgent", CHECKS, CHECK));
    assertThat(fleet.owner.starts.subList(starts, fleet.owner.starts.size()))
        .extracting(started -> started.run().key().task().submission())
        .containsOnly("urgent")
        .hasSize(2);
  }

  /** Guards against a gang that never starts since its orders exceed the window. */
  @ParameterizedTest
  @ValueSource(ints = {1_000, 5_000})
  void gangLargerThanTheWindowStartsBesideOtherWork(int members) {
    fleet.owner.cell.limitOrders(1 << 20);
    fleet.submit(large("other", 10_000, false));
    fleet.submit(large("gang", members, true));
    assertCompletedBesideChecks(List.of("other", "gang"));
  }

  /** Guards against a large gang that never starts since some urgent order is always in transit. */
  @Test
  void gangLargerThanTheWindowStartsBesideUrgentOrders() {
    fleet.owner.cell.limitOrders(1 << 20);
    submitCheck();
    int starts = fleet.owner.starts.size();
    assertThat(starts).isPositive();
    fleet.submit(large("gang", 2_000, true));
    assertThat(fleet.owner.starts).hasSize(starts + 2_000);
  }

  /** Guards against runs that are stopped to make room for a gang that waits for orders only. */
  @Test
  void laterGangsWaitForTheirOrdersAsWell() {
    fleet.owner.cell.limitOrders(1 << 20);
    fleet.submit(large("other", 10_000, false));
    List<String> gangs = List.of("gang-1", "gang-2");
    for (String gang : gangs) {
      fleet.owner.cell.accept(large(gang, 1_000, true), fleet.owner.now);
      fleet.states.put(gang, SubmissionState.QUEUED);
    }
    fleet.owner.writePending();
    fleet.owner.pass();
    assertThat(fleet.owner.stops).isEmpty();
    assertCompletedBesideChecks(gangs);
  }

  /** Guards against room that is never given back by orders that could not be sent. */
  @Test
  void ordersThatCannotBeSentLeaveTheWindow() {
    fleet.owner.cell.limitOrders(1 << 20);
    fleet.owner.failingSubmission = "failing";
    StepSpec[] steps = new StepSpec[500];
    Arrays.fill(steps, step(1, 10, 500, false));
    fleet.owner.cell.accept(spec("failing", CHECKS, steps), fleet.owner.now);
    fleet.owner.writePending();
    assertThatThrownBy(fleet.owner::pass).isInstanceOf(IllegalStateException.class);
    fleet.submit(spec("sound", BATCHES, CHECK));
    assertThat(fleet.owner.starts)
        .extracting(started -> started.run().key().task().submission())
        .containsOnly("sound");
  }

  /** Guards against room that is never given back by orders without an answer. */
  @Test
  void ordersToWorkersThatAreCutOffLeaveTheWindow() {
    fleet.owner.cell.limitOrders(1 << 20);
    fleet.submit(large("large", 5_000, false));
    for (String worker : fleet.workersUp().subList(0, WORKERS / 2)) {
      fleet.cutOff(worker, 2_000);
    }
    assertCompletedBesideChecks(List.of("large"));
  }
}
