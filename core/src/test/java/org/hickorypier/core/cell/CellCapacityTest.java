package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;

import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.junit.jupiter.api.Test;

/** Tests which entries of the worker list count as capacity of the cell. */
class CellCapacityTest {

  private static final Resources FOREIGN_CAPACITY = new Resources(1_000_000_000, 1, 0);

  private final CellFixture fixture = new CellFixture(1);

  private static SubmissionSpec submission(String customer, int count, Resources taskResources) {
    StepSpec step =
        new StepSpec(count, taskResources, 500, List.of(), StepFlags.NONE, "", "", 0, "", 0, 0);
    return new SubmissionSpec(customer, customer, QUEUE, "text", List.of(step), 0, 0, 0, 0);
  }

  private void listForeignWorker() {
    fixture.listWorker(
        new WorkerEntry(
            "foreign", "archive", "10.0.0.9:9", false, 0, FOREIGN_CAPACITY, List.of(), 1));
  }

  /**
   * Guards against a takeover after which no customer with a limit gets a worker, since an entry of
   * another writer counts as a worker that may run tasks of any of them.
   */
  @Test
  void entryOfWorkerThatNeverAnsweredIsNotHandedToTheSuccessor() {
    fixture.addWorker("w");
    listForeignWorker();
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();

    CellFixture successor = fixture.successor(2);
    successor.cell.configure(List.of(new CustomerLimits("small", 1, new Resources(20_000, 0, 0))));
    successor.addWorker("w");
    successor.submit(submission("small", 4, new Resources(1_000, 1_000, 0)));
    assertThat(successor.starts).hasSize(4);
  }

  /**
   * Guards against a customer that keeps most of the processors since an entry of another writer,
   * whose worker does not exist, makes its share look small.
   */
  @Test
  void entryOfWorkerThatNeverAnsweredLeavesTheSharesAsTheyAre() {
    fixture.cell.configure(
        List.of(
            new CustomerLimits("small", 1, Resources.NONE),
            new CustomerLimits("large", 3, Resources.NONE)));
    fixture.addWorker("w");
    listForeignWorker();
    fixture.submit(submission("small", 12, new Resources(1_000, 1_000, 0)));
    fixture.submit(submission("large", 3, new Resources(1_000, 20_000, 0)));
    fixture.cell.tick(fixture.now, fixture.now);
    assertThat(fixture.starts).hasSize(14);
    assertThat(fixture.events).anyMatch(line -> line.contains("over-share [customers, small]"));
  }
}
