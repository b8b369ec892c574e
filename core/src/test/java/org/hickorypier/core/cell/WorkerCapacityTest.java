package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.CAPACITY;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.List;
import org.hickorypier.core.model.Resources;
import org.junit.jupiter.api.Test;

/** Tests workers whose capacity shrinks and grows while they run. */
class WorkerCapacityTest {

  private static final Resources SHRUNK = new Resources(4_000, 64_000, 0);
  private static final String ADDRESS = "10.0.0.1:1";

  private final CellFixture fixture = new CellFixture(1);
  private final WorkerView worker = fixture.addWorker("w");

  private void changeCapacity(Resources capacity) {
    fixture.listWorker(FakeFleet.entry("w", ADDRESS, worker.bornMillis(), capacity));
  }

  /** Lets the worker report what was ordered, and runs a pass. */
  private void report() {
    fixture.confirmAll();
    fixture.reportFrom(worker, worker.bornMillis(), List.copyOf(worker.runs.keySet()));
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    fixture.pass();
  }

  @Test
  void startsFollowTheCapacityAsItShrinksAndGrows() {
    changeCapacity(SHRUNK);
    fixture.submit(spec("s", QUEUE, step(10, 1_000, 500, false)));
    assertThat(fixture.starts).hasSize(4);

    changeCapacity(CAPACITY);
    fixture.pass();
    assertThat(fixture.starts).hasSize(10);
  }

  @Test
  void runsCountUntilTheyHaveEndedThoughTheirWorkerShrank() {
    fixture.submit(spec("s", QUEUE, step(8, 1_000, 500, false)));
    changeCapacity(SHRUNK);
    report();
    fixture.submit(spec("next", QUEUE, step(1, 1_000, 500, false)));
    assertThat(fixture.starts).hasSize(8);

    List<Run> runs = List.copyOf(worker.runs.values());
    for (int index = 0; index < 5; index++) {
      EndedRun end = new EndedRun(index + 1, runs.get(index).key(), RunEnd.DONE, "");
      fixture.reportFrom(
          worker,
          worker.bornMillis(),
          runs.subList(index + 1, 8).stream().map(Run::key).toList(),
          end);
      fixture.writePending();
    }
    fixture.pass();
    assertThat(fixture.starts).hasSize(9);
  }

  /** Guards against starts beyond a capacity that shrank while the list could not be read. */
  @Test
  void nothingStartsWhileTheWorkerListIsOutOfDate() {
    fixture.listReadable = false;
    for (int index = 0; index < 40; index++) {
      fixture.advance(100);
      report();
    }
    fixture.submit(spec("s", QUEUE, step(10, 1_000, 500, false)));
    assertThat(fixture.starts).isEmpty();

    fixture.listReadable = true;
    changeCapacity(SHRUNK);
    fixture.pass();
    assertThat(fixture.starts).hasSize(4);
  }

  /**
   * Guards against a customer above its limit after a takeover, by runs on a worker that shrank.
   */
  @Test
  void unknownRunsCountWithAllThatMayRunOnTheShrunkWorker() {
    final Resources limit = new Resources(14_000, 0, 0);
    final List<CustomerLimits> customers = List.of(new CustomerLimits("customer", 1, limit));
    fixture.submit(spec("s", QUEUE, step(12, 1_000, 500, false)));
    report();
    changeCapacity(SHRUNK);
    fixture.addWorker("other");
    report();

    CellFixture successor = fixture.successor(2, "s");
    successor.cell.configure(customers);
    successor.listWorker(FakeFleet.entry("w", ADDRESS, worker.bornMillis(), SHRUNK));
    successor.addWorker("other");
    successor.submit(spec("next", QUEUE, step(12, 1_000, 500, false)));
    assertThat(successor.starts).hasSizeLessThanOrEqualTo(2);
  }
}
