package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.junit.jupiter.api.Test;

/** Tests the reserve for urgent work where workers are reserved for single tasks or lost. */
class UrgentReserveTest {

  private static final int WORKERS = 4;
  private static final QueueTerms BATCHES =
      new QueueTerms("batches", "service", 1, 2, 2, 1_000, Optional.empty());

  private final CellFixture fixture = new CellFixture(1);

  /** Lets urgent work use a third of four workers for a while, then ends it. */
  private void runUrgentWork() {
    for (int index = 0; index < WORKERS; index++) {
      fixture.addWorker("w" + index);
    }
    fixture.submit(spec("urgent", QUEUE, step(21, 1_000, 600, false)));
    fixture.confirmAll();
    for (int index = 0; index < 300; index++) {
      fixture.cell.tick(fixture.now, fixture.now);
    }
    for (WorkerView worker : fixture.cell.workers()) {
      List<RunKey> runs = List.copyOf(worker.runs.keySet());
      EndedRun[] ends = new EndedRun[runs.size()];
      for (int index = 0; index < ends.length; index++) {
        ends[index] = new EndedRun(index + 1, runs.get(index), RunEnd.DONE, "");
      }
      fixture.reportFrom(worker, ends);
    }
    fixture.writePending();
    assertThat(fixture.cell.find("urgent").isLive()).isFalse();
  }

  /** Reserves a worker for a task that is about to start there. */
  private static void reserve(WorkerView worker, Task task) {
    RunKey key = new RunKey(task.name(), 1);
    worker.trialUnit = task;
    worker.runs.put(key, new Run(key, task, worker, Resources.NONE, "customer"));
  }

  /** Guards against work that waits since the few workers left to it hold the reserve of all. */
  @Test
  void workersReservedForOneTaskCountForTheReserve() {
    runUrgentWork();
    Submission suspect = fixture.cell.accept(spec("suspect", QUEUE, step(1, 1, 1, false)), 0);
    Task task = suspect.occurrences[0][0].tasks[0];
    task.crashes = new CrashHistory();
    fixture.cell.workers().subList(1, WORKERS).forEach(worker -> reserve(worker, task));
    fixture.starts.clear();
    fixture.submit(spec("batch", BATCHES, step(4, 1_000, 600, false)));
    assertThat(fixture.starts)
        .filteredOn(started -> started.run().key().task().submission().equals("batch"))
        .hasSize(4);
  }

  /** Guards against work that waits beside idle workers since the reserve exceeds what is left. */
  @Test
  void halfOfTheRoomStaysFreeOfTheReserve() {
    runUrgentWork();
    fixture.starts.clear();
    for (int index = 1; index < WORKERS; index++) {
      fixture.cell.renewalUnanswered(fixture.findWorker("w" + index), fixture.now);
    }
    fixture.submit(spec("batch", BATCHES, step(4, 1_000, 600, false)));
    assertThat(fixture.starts)
        .filteredOn(started -> started.run().key().task().submission().equals("batch"))
        .hasSize(4);
  }
}
