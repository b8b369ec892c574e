package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.AdviceTerms;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.SubmissionSpec;
import org.junit.jupiter.api.Test;

/** A batch fills 20 workers with two tasks each when a gang of two tasks comes. */
class PreemptionTest {

  private static final QueueTerms GANGS =
      new QueueTerms("gangs", "service", 1, 2, 1.5, 0, Optional.of(new AdviceTerms(100, 1, 2_500)));
  private static final QueueTerms BATCHES =
      new QueueTerms("batches", "service", 2, 2, 4, 3_000, Optional.empty());

  private CellFixture fixture =
      new CellFixture(
          1,
          CellFixture.TIMINGS.withDecisions(
              new DecisionSettings(
                  true, true, true, true, Optional.of(new InterruptionCost(200, 250, 500)))));
  private final Set<RunKey> stopped = new HashSet<>();
  private final Map<String, Long> endNumbers = new HashMap<>();
  private StepRun gang;

  /** Lets time pass, and all workers but one report; stopped runs end. */
  private void run(long millis, String silent) {
    for (long left = millis; left > 0; left -= 50) {
      fixture.advance(50);
      stopped.addAll(fixture.stops);
      for (WorkerView worker : fixture.cell.workers()) {
        if (worker.id().equals(silent)) {
          fixture.cell.renewalUnanswered(worker, fixture.now);
          continue;
        }
        List<RunningTask> running = new ArrayList<>();
        List<EndedRun> ends = new ArrayList<>();
        for (RunKey key : worker.runs.keySet()) {
          if (stopped.contains(key)) {
            long number = endNumbers.merge(worker.id(), 1L, Long::sum);
            ends.add(new EndedRun(number, key, RunEnd.STOPPED, "saved"));
          } else {
            running.add(new RunningTask(key, "", 5));
          }
        }
        fixture.reportNow(worker, worker.bornMillis(), running, ends);
      }
      fixture.cell.tick(fixture.now, fixture.now);
      fixture.writePending();
      fixture.pass();
      fixture.confirmAll();
    }
  }

  /** Submits the gang and answers its first request: workers w0 to w2 are suitable. */
  private void submitGang() {
    for (int index = 0; index < 20; index++) {
      fixture.addWorker("w" + index);
    }
    fixture.submit(spec("batch", BATCHES, step(50, 7_500, 60_000, false)));
    fixture.confirmAll();
    assertThat(fixture.starts).hasSize(40);
    fixture.starts.clear();
    run(600, "");
    fixture.submit(spec("gang", GANGS, step(2, 8_000, 5_000, true)));
    gang = fixture.adviceRequests.get(0).step();
    answer(0);
  }

  private void answer(int request) {
    CellFixture.AdviceRequest asked = fixture.adviceRequests.get(request);
    Map<String, String> tickets = Map.of("w0", "t0", "w1", "t1", "w2", "t2");
    fixture.cell.adviceAnswered(asked.step(), asked.workers(), tickets, 2_500, fixture.now);
    fixture.pass();
  }

  private void preempt() {
    submitGang();
    while (gang.preemption == null && fixture.now < 10_000) {
      run(50, "");
    }
    assertThat(fixture.events).filteredOn(event -> event.contains(" preempting ")).hasSize(1);
  }

  private List<Run> gangStarts() {
    return fixture.starts.stream()
        .map(CellFixture.StartedRun::run)
        .filter(run -> run.submission().spec().id().equals("gang"))
        .toList();
  }

  @Test
  void gangStartsInTheRoomThatWasMadeForIt() {
    preempt();
    run(100, "");
    assertThat(gangStarts()).hasSize(2);
    assertThat(stopped).hasSize(2);
    // The batch waits with ten tasks, but takes none of the room.
    assertThat(fixture.starts).hasSize(2);
  }

  /** Guards against stops that were in vain since another call for the step has failed. */
  @Test
  void failedCallDoesNotGiveTheFreedRoomAway() {
    preempt();
    fixture.cell.adviceFailed(gang, fixture.now);
    run(100, "");
    assertThat(gangStarts()).hasSize(2);
  }

  @Test
  void nothingIsStoppedWithoutTicketsAndRoomIsFreedWhenTheAdvisorFails() {
    submitGang();
    fixture.advance(2_400);
    run(50, "");
    assertThat(fixture.adviceRequests).hasSize(2);
    assertThat(gang.reservation).isNotNull();
    assertThat(fixture.stops).isEmpty();
    fixture.cell.adviceFailed(gang, fixture.now);
    assertThat(gang.reservation).isNull();
    assertThat(fixture.cell.workers())
        .allMatch(worker -> worker.freeProcessors() == 16_000 - worker.usedProcessors());
    run(700, "");
    answer(2);
    run(200, "");
    assertThat(gangStarts()).hasSize(2);
  }

  /** Guards against requests without end for tickets that lapse before the stops are done. */
  @Test
  void nothingIsStoppedWhereTicketsLapseTooSoon() {
    AdviceTerms shortLived = new AdviceTerms(100, 1, 700);
    fixture.addWorker("w0");
    fixture.submit(spec("batch", BATCHES, step(2, 7_500, 60_000, false)));
    fixture.confirmAll();
    QueueTerms queue = new QueueTerms("g", "service", 1, 2, 1.5, 0, Optional.of(shortLived));
    fixture.submit(spec("gang", queue, step(2, 8_000, 5_000, true)));
    run(2_000, "");
    assertThat(fixture.adviceRequests).isEmpty();
    assertThat(fixture.stops).isEmpty();
  }

  @Test
  void silentWorkerIsReplaced() {
    preempt();
    String silent = gang.preemption.victims().get(0).worker.id();
    run(1_200, silent);
    assertThat(gangStarts()).hasSize(2);
    assertThat(gangStarts()).noneMatch(run -> run.worker().id().equals(silent));
  }

  /** A worker that restarts refuses its ticket; the room stays reserved for the new one. */
  @Test
  void lapsedTicketIsRequestedOnceMore() {
    preempt();
    WorkerView reborn = gang.preemption.victims().get(0).worker;
    fixture.listWorker(reborn.id(), 77);
    fixture.reportFrom(reborn, 77, List.of());
    final int asked = fixture.adviceRequests.size();
    run(100, "");
    assertThat(fixture.adviceRequests).hasSize(asked + 1);
    assertThat(gang.reservation).isNotNull();
    assertThat(gangStarts()).isEmpty();
    answer(asked);
    assertThat(gangStarts()).hasSize(2);
  }

  @Test
  void successorContinuesWhatWasStopped() {
    preempt();
    List<RunKey> victims = List.copyOf(fixture.stops);
    CellFixture successor = fixture.successorFromStore(2);
    List<WorkerView> before = fixture.cell.workers();
    for (WorkerView old : before) {
      successor.listWorker(old.id(), 1);
      List<RunningTask> running = new ArrayList<>();
      List<EndedRun> ends = new ArrayList<>();
      for (RunKey key : old.runs.keySet()) {
        if (victims.contains(key)) {
          ends.add(new EndedRun(ends.size() + 1, key, RunEnd.STOPPED, "saved"));
        } else {
          running.add(new RunningTask(key, "", 5));
        }
      }
      successor.reportNow(successor.findWorker(old.id()), 1, running, ends);
    }
    successor.cell.tick(successor.now, successor.now);
    successor.writePending();
    successor.pass();
    assertThat(victims).hasSize(2);
    assertThat(successor.starts)
        .filteredOn(next -> next.run().checkpoint().equals("saved"))
        .extracting(next -> next.run().key().task())
        .containsExactlyInAnyOrderElementsOf(victims.stream().map(RunKey::task).toList());
  }

  /** Guards against small tasks that fill each gap under a limit which a gang waits for. */
  @Test
  void lessUrgentWorkOfTheCustomerLeavesRoomUnderTheLimit() {
    fixture = new CellFixture(1);
    Resources limit = new Resources(30_000, 0, 0);
    fixture.cell.configure(List.of(new CustomerLimits("customer", 100, limit)));
    for (int index = 0; index < 4; index++) {
      fixture.addWorker("w" + index);
    }
    QueueTerms queue = new QueueTerms("g", "service", 1, 2, 2, 9_000, Optional.empty());
    fixture.submit(spec("batch", BATCHES, step(9, 7_500, 60_000, false)));
    fixture.confirmAll();
    fixture.submit(spec("gang", queue, step(2, 10_000, 5_000, true)));
    assertThat(fixture.events).anyMatch(event -> event.contains(" limit-headroom "));
    assertThat(fixture.cell.explain("gang", fixture.now).toString())
        .contains("no room for all 2 tasks; holds back");
    stopped.add(fixture.starts.get(0).run().key());
    stopped.add(fixture.starts.get(1).run().key());
    run(100, "");
    assertThat(fixture.starts).hasSize(4);
    assertThat(fixture.cell.explain("batch", fixture.now).toString()).contains("held for gang");
    SubmissionSpec own = spec("other", BATCHES, step(1, 1_000, 500, false));
    fixture.submit(
        new SubmissionSpec("other", "another", BATCHES, "text", own.steps(), 0, 0, 0, 0));
    assertThat(fixture.starts).hasSize(5);
    stopped.add(fixture.starts.get(2).run().key());
    run(100, "");
    assertThat(gangStarts()).hasSize(2);
  }
}
