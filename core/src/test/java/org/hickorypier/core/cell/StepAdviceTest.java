package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.ADVISED;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.junit.jupiter.api.Test;

class StepAdviceTest {

  private final CellFixture fixture = new CellFixture(1);

  @Test
  void tasksStartOnlyOnSuitableWorkersWithTheirTickets() {
    fixture.addWorker("good");
    final WorkerView bad = fixture.addWorker("bad");
    fixture.submit(spec("s", ADVISED, step(4, 1_000, 500, false)));
    assertThat(fixture.starts).isEmpty();
    assertThat(fixture.adviceRequests).hasSize(1);

    answer(0, Map.of("good", "ticket"));
    assertThat(fixture.starts).hasSize(4);
    assertThat(fixture.starts).allMatch(next -> next.ticket().equals("ticket"));
    assertThat(fixture.starts).noneMatch(next -> next.run().worker() == bad);
  }

  /**
   * Guards against a gang that never starts. Its tickets expire before there is room, and new ones
   * take half a second; meanwhile smaller work must not take the room.
   */
  @Test
  void roomIsClaimedWhileTicketsAreRenewed() {
    WorkerView worker = fixture.addWorker("w");
    fixture.submit(spec("wide", ADVISED, step(3, 5_000, 500, true)));
    fixture.cell.renewalUnanswered(worker, fixture.now);
    answer(0, Map.of("w", "old"));
    fixture.advance(3_000);
    fixture.reportFrom(worker);
    fixture.pass();
    assertThat(fixture.adviceRequests).hasSize(2);

    fixture.submit(spec("small", CellFixture.QUEUE, step(1, 4_000, 100, false)));
    assertThat(fixture.starts).isEmpty();

    answer(1, Map.of("w", "new"));
    assertThat(fixture.starts).hasSize(3);
    assertThat(fixture.starts).allMatch(next -> next.ticket().equals("new"));
  }

  /** Guards against room that stays reserved for a cancelled gang, and is lost to the cell. */
  @Test
  void roomOfCancelledGangIsFreed() {
    WorkerView worker = fixture.addWorker("w");
    final Submission wide = fixture.submit(spec("wide", ADVISED, step(3, 5_000, 500, true)));
    fixture.cell.renewalUnanswered(worker, fixture.now);
    answer(0, Map.of("w", "old"));
    fixture.advance(3_000);
    fixture.reportFrom(worker);
    fixture.pass();
    fixture.cell.cancel(wide, fixture.now);
    fixture.pass();
    fixture.submit(spec("small", CellFixture.QUEUE, step(4, 4_000, 100, false)));
    assertThat(fixture.starts).hasSize(4);
  }

  @Test
  void adviceIsRequestedBeforeTheLeaseOfLostWorkerExpires() {
    final WorkerView lost = fixture.addWorker("lost");
    fixture.submit(spec("s", ADVISED, CellFixture.persistentStep(1)));
    answer(0, Map.of("lost", "ticket"));
    fixture.confirmAll();
    fixture.addWorker("other");
    fixture.cell.renewalUnanswered(lost, fixture.now);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.adviceRequests).hasSize(2);
    assertThat(fixture.adviceRequests.get(1).workers())
        .extracting(WorkerView::id)
        .contains("other");
  }

  /**
   * A check has two steps. Advice is requested for the first step while the check is being written,
   * and for the second while the first is running, so that each step starts as soon as it is ready.
   */
  @Test
  void adviceIsRequestedBeforeEachStepIsReady() {
    final WorkerView worker = fixture.addWorker("w");
    StepSpec second = CellFixture.stepAfter(0, 2, 1_000, 500);
    fixture.cell.accept(spec("s", ADVISED, step(1, 1_000, 500, false), second), fixture.now);
    fixture.pass();
    assertThat(fixture.adviceRequests).hasSize(1);
    answer(0, Map.of("w", "first"));
    assertThat(fixture.starts).isEmpty();
    fixture.writePending();
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);

    fixture.confirmAll();
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.adviceRequests).hasSize(2);
    answer(1, Map.of("w", "second"));
    assertThat(fixture.starts).hasSize(1);
    fixture.reportFrom(worker, new EndedRun(1, fixture.starts.get(0).run().key(), RunEnd.DONE, ""));
    fixture.pass();
    assertThat(fixture.starts).hasSize(3);
    assertThat(fixture.starts.get(2).ticket()).isEqualTo("second");
  }

  /**
   * If it were, tickets would expire before a long step ends, and a second request would follow.
   */
  @Test
  void adviceIsNotRequestedSoEarlyThatTicketsExpire() {
    fixture.addWorker("w");
    StepSpec second = CellFixture.stepAfter(0, 2, 1_000, 500);
    fixture.submit(spec("s", ADVISED, step(1, 1_000, 5_000, false), second));
    answer(0, Map.of("w", "first"));
    fixture.confirmAll();
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.adviceRequests).hasSize(1);

    fixture.advance(4_000);
    fixture.reportFrom(fixture.findWorker("w"), 1, List.of(fixture.starts.get(0).run().key()));
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.adviceRequests).hasSize(2);
  }

  @Test
  void adviceIsRequestedAgainAfterTheAdvisorWasBusy() {
    fixture.addWorker("w");
    fixture.advisorAvailable = false;
    fixture.submit(spec("s", ADVISED, step(1, 1_000, 500, false)));
    fixture.advisorAvailable = true;
    fixture.pass();
    assertThat(fixture.adviceRequests).hasSize(1);
  }

  /** Guards against checks that wait for advice about many more workers than they can use. */
  @Test
  void narrowStepNamesFewWorkersAndWideGangNamesMany() {
    for (int index = 0; index < 40; index++) {
      fixture.addWorker("w" + index);
    }
    fixture.submit(spec("narrow", ADVISED, step(3, 4_000, 500, false)));
    fixture.submit(spec("wide", ADVISED, step(60, 4_500, 500, true)));
    assertThat(fixture.adviceRequests.get(0).workers()).hasSizeLessThan(15);
    assertThat(fixture.adviceRequests.get(1).workers()).hasSize(40);
  }

  /**
   * Guards against gangs that ask the advisor several times, half a second each, in a busy cell: of
   * 120 workers with room for one task each a third suits the gang.
   */
  @Test
  void gangStartsAfterOneAnswerInBusyCell() {
    for (int index = 0; index < 120; index++) {
      fixture.addWorker("w" + index);
    }
    StepSpec twoTasksOnEachWorker =
        new StepSpec(
            240,
            new Resources(5_000, 1_000, 0),
            60_000,
            List.of(),
            StepFlags.NONE,
            "",
            "",
            2,
            "",
            0,
            0);
    fixture.submit(spec("filler", CellFixture.QUEUE, twoTasksOnEachWorker));
    fixture.confirmAll();
    final int fillerStarts = fixture.starts.size();
    fixture.submit(spec("gang", ADVISED, step(21, 4_500, 4_000, true)));
    Map<String, String> tickets = new HashMap<>();
    for (WorkerView worker : fixture.adviceRequests.get(0).workers()) {
      if (Integer.parseInt(worker.id().substring(1)) % 3 == 0) {
        tickets.put(worker.id(), "ticket");
      }
    }
    answer(0, tickets);
    assertThat(fixture.starts).hasSize(fillerStarts + 21);
  }

  /**
   * Guards against requests that name too few workers, since tickets were renewed for workers that
   * were known to be suitable.
   */
  @Test
  void renewedTicketsDoNotCountAsSuitableShare() {
    SuitabilityEstimator estimator = new SuitabilityEstimator();
    final double before = estimator.share("queue");
    estimator.recordAnswer("queue", 0, 0);
    assertThat(estimator.share("queue")).isEqualTo(before);
    WorkerView worker = fixture.addWorker("w");
    fixture.submit(spec("wide", ADVISED, step(3, 5_000, 500, true)));
    for (int request = 0; request < 10; request++) {
      fixture.cell.renewalUnanswered(worker, fixture.now);
      answer(request, Map.of("w", "ticket"));
      fixture.advance(3_000);
      fixture.reportFrom(worker);
      fixture.pass();
    }
    for (int index = 0; index < 40; index++) {
      fixture.addWorker("v" + index);
    }
    fixture.submit(spec("next", ADVISED, step(13, 4_500, 500, true)));
    int last = fixture.adviceRequests.size() - 1;
    assertThat(fixture.adviceRequests.get(last).workers()).hasSizeGreaterThan(35);
  }

  /** Guards against too few suitable workers where the advisor refuses most of them. */
  @Test
  void requestGrowsWhereFewWorkersAreSuitable() {
    for (int index = 0; index < 40; index++) {
      fixture.addWorker("w" + index);
    }
    for (int request = 0; request < 30; request++) {
      fixture.submit(spec("s" + request, ADVISED, step(3, 4_000, 500, false)));
      answer(request, Map.of());
    }
    int last = fixture.adviceRequests.size() - 1;
    assertThat(fixture.adviceRequests.get(last).workers()).hasSizeGreaterThan(30);
  }

  private void answer(int request, Map<String, String> tickets) {
    CellFixture.AdviceRequest pending = fixture.adviceRequests.get(request);
    fixture.cell.adviceAnswered(pending.step(), pending.workers(), tickets, 2_500, fixture.now);
    fixture.pass();
  }
}
