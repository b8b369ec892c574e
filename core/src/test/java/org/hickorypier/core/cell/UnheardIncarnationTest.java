package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.TIMINGS;
import static org.hickorypier.core.cell.CellFixture.persistentStep;
import static org.hickorypier.core.cell.CellFixture.spec;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests runs and leases of incarnations that nobody has heard of, across several owners. */
class UnheardIncarnationTest {

  private static final long TICK_MILLIS = 100;

  private final CellFixture fixture = new CellFixture(1);

  private static void report(CellFixture owner, WorkerView worker, long bornMillis) {
    owner.reportFrom(worker, bornMillis, List.copyOf(worker.runs.keySet()));
    owner.cell.tick(owner.now, owner.now);
    owner.writePending();
    owner.pass();
  }

  private static void advance(CellFixture owner, WorkerView reporting, long millis) {
    long until = owner.now + millis;
    while (owner.now < until) {
      owner.advance(TICK_MILLIS - 5);
      for (WorkerView worker : List.copyOf(owner.cell.workers())) {
        if (worker != reporting) {
          owner.cell.renewalUnanswered(worker, owner.now);
        }
      }
      report(owner, reporting, reporting.bornMillis());
    }
  }

  private static void beSilent(CellFixture owner, WorkerView worker, long millis) {
    long until = owner.now + millis;
    while (owner.now < until) {
      owner.advance(TICK_MILLIS);
      owner.cell.renewalUnanswered(worker, owner.now);
      owner.cell.tick(owner.now, owner.now);
      owner.writePending();
    }
  }

  private Run orderOnWorker(WorkerView worker) {
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    fixture.submit(spec("s", QUEUE, persistentStep(1)));
    return fixture.starts.get(0).run();
  }

  private static boolean evented(CellFixture owner, String event) {
    return owner.events.stream().anyMatch(line -> line.contains(" " + event + " "));
  }

  /** Guards against a successor that forgets a removed worker that its predecessor called. */
  @Test
  void successorRemembersGrantsOfPredecessorToRemovedWorker() {
    WorkerView worker = fixture.addWorker("w");
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    CellFixture successor = fixture.successor(2);
    WorkerView restored = successor.findWorker("w");
    beSilent(successor, restored, 8_000);
    assertThat(successor.cell.workers()).isEmpty();
    successor.listWorker("w", 2);
    successor.reportFrom(successor.findWorker("w"), 2, List.of());
    assertThat(successor.findWorker("w").formerLeaseMillis(successor.now)).isPositive();
  }

  /** Guards against the same for a worker that the predecessor had closed. */
  @Test
  void successorRemembersGrantsOfPredecessorToClosedWorker() {
    WorkerView worker = fixture.addWorker("w");
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    beSilent(fixture, worker, 5_000);
    assertThat(fixture.roster).hasSize(1);
    CellFixture successor = fixture.successor(2);
    beSilent(successor, successor.findWorker("w"), 500);
    assertThat(successor.cell.workers()).isEmpty();
    successor.listWorker("w", 2);
    successor.reportFrom(successor.findWorker("w"), 2, List.of());
    assertThat(successor.findWorker("w").formerLeaseMillis(successor.now)).isPositive();
  }

  /** Guards against the same after two takeovers, while the worker stays listed. */
  @Test
  void secondSuccessorRemembersGrantsToClosedWorker() {
    WorkerView worker = fixture.addWorker("w");
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    beSilent(fixture, worker, 5_000);
    CellFixture second = fixture.successor(2);
    second.listWorker("w", 1);
    beSilent(second, second.findWorker("w"), 1_000);
    CellFixture third = second.successor(3);
    third.listWorker("w", 2);
    third.reportFrom(third.findWorker("w"), 2, List.of());
    assertThat(third.findWorker("w").formerLeaseMillis(third.now)).isPositive();
  }

  /**
   * Guards against one missing answer of a restarted worker that counts as the loss of its runs.
   */
  @Test
  void oneMissingAnswerOfRestartedWorkerIsNoLoss() {
    WorkerView worker = fixture.addWorker("w");
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    Run run = orderOnWorker(worker);
    fixture.cell.startAnswered(run, StartAnswer.of(StartOutcome.STARTED), fixture.now);
    fixture.advance(100);
    fixture.reportFrom(worker, 2, List.of(run.key()));
    fixture.listWorker("w", 2);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    assertThat(worker.runs).hasSize(1);
    fixture.advance(100);
    fixture.cell.renewalUnanswered(worker, fixture.now);
    fixture.cell.tick(fixture.now, fixture.now);
    assertThat(evented(fixture, "run-lost")).isFalse();
  }

  /** Guards against evidence that a successor keeps against a run that is active. */
  @Test
  void successorWithdrawsLossOfRunThatIsActive() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    beSilent(fixture, run.worker(), 6_000);
    assertThat(run.lossCounted).isTrue();
    assertThat(run.task.crashes.has(run.key().number())).isTrue();
    CellFixture successor = fixture.successorFromStore(2);
    WorkerView restored = successor.findWorker("w");
    assertThat(restored.runs).hasSize(1);
    successor.listWorker("w", 1);
    successor.reportFrom(restored, 1, List.of(run.key()));
    Task task = restored.runs.get(run.key()).task;
    assertThat(task.currentRun.key()).isEqualTo(run.key());
    assertThat(task.crashes == null || !task.crashes.has(run.key().number())).isTrue();
  }

  /**
   * Guards against a run that was announced, never ordered, and counts as unseen at a successor.
   */
  @Test
  void runThatIsHeldBackIsNotAnnounced() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    beSilent(fixture, run.worker(), 6_000);
    assertThat(run.lossCounted).isTrue();
    assertThat(run.worker().runs).hasSize(1);
    CellFixture successor = fixture.successorFromStore(2);
    WorkerView staying = successor.addWorker("staying");
    WorkerView unrelated = successor.addWorker("unrelated");
    beSilent(successor, unrelated, 700);
    advance(successor, staying, 14_000);
    Submission restored = successor.cell.find("s");
    Task task = restored.occurrences[0][0].tasks[0];
    assertThat(task.crashes.unseenRuns()).isZero();
  }

  /** Guards against a roster that is written each second after a worker was removed. */
  @Test
  void removedWorkerDoesNotCauseRosterWriteEachSecond() {
    WorkerView worker = fixture.addWorker("w");
    final WorkerView staying = fixture.addWorker("staying");
    fixture.unlistWorker("w");
    fixture.cell.renewalUnanswered(worker, fixture.now);
    fixture.cell.workersDeparted(List.of("w"), fixture.now);
    assertThat(fixture.cell.workers()).hasSize(1);
    int writes = 0;
    List<RosterEntry> last = fixture.roster;
    for (int index = 0; index < 240; index++) {
      fixture.advance(95);
      report(fixture, staying, 1);
      if (fixture.roster != last) {
        writes++;
        last = fixture.roster;
      }
    }
    fixture.advance(1_000);
    for (int index = 0; index < 100; index++) {
      fixture.advance(95);
      report(fixture, staying, 1);
    }
    assertThat(writes).isLessThan(5);
  }

  /** Guards against a removed worker that stays on the roster for ever. */
  @Test
  void forgottenWorkerLeavesRoster() {
    WorkerView worker = fixture.addWorker("w");
    final WorkerView staying = fixture.addWorker("staying");
    fixture.unlistWorker("w");
    fixture.cell.renewalUnanswered(worker, fixture.now);
    fixture.cell.workersDeparted(List.of("w"), fixture.now);
    for (int index = 0; index < 400; index++) {
      fixture.advance(95);
      report(fixture, staying, 1);
    }
    assertThat(fixture.roster).hasSize(1);
  }

  /** Guards against a second loss of a run that is not recorded. */
  @Test
  void lossIsRecordedAgainAfterItsWorkerAnswered() {
    WorkerView worker = fixture.addWorker("w");
    Run run = orderOnWorker(worker);
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    beSilent(fixture, worker, 6_000);
    assertThat(run.lossCounted).isTrue();
    // The answer's report is a full page of ends.
    EndedRun[] ends = new EndedRun[500];
    for (int index = 0; index < 500; index++) {
      ends[index] =
          new EndedRun(
              index + 1, new RunKey(new TaskName("x" + index, 0, 0, 0), 1), RunEnd.DONE, "");
    }
    fixture.reportFrom(worker, 1, List.of(), ends);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    assertThat(worker.runs).hasSize(1);
    beSilent(fixture, worker, 6_000);
    assertThat(run.task.crashes != null && run.task.crashes.has(run.key().number())).isTrue();
  }

  /** Guards against a run that is held anew at each change of owner. */
  @Test
  void takeoversDoNotExtendHoldOfRunWithOrderInTransit() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    beSilent(fixture, run.worker(), 5_000);
    CellFixture owner = fixture;
    for (int epoch = 2; epoch < 12; epoch++) {
      owner = owner.successor(epoch, "s");
      advance(owner, owner.addWorker("staying"), 2_000);
    }
    assertThat(owner.findWorker("staying").runs).hasSize(1);
  }

  /** Guards against a roster that tells a longer time than is left. */
  @Test
  void rosterTellsRemainingTimeOfUnheardRuns() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    WorkerView staying = fixture.addWorker("staying");
    advance(fixture, staying, 11_500);
    assertThat(run.worker().runs).hasSize(1);
    RosterEntry entry =
        fixture.roster.stream().filter(each -> each.worker().id().equals("w")).findFirst().get();
    assertThat(entry.unheardRuns().runs()).hasSize(1);
    assertThat(entry.unheardRuns().leaseMillis()).isLessThan(3_000);
  }

  /** Guards against a second run beside an order in transit to a worker that has left. */
  @Test
  void departedWorkerKeepsRunWithOrderInTransit() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    WorkerView worker = run.worker();
    final WorkerView staying = fixture.addWorker("staying");
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    fixture.unlistWorker("w");
    fixture.cell.renewalUnanswered(worker, fixture.now);
    fixture.cell.workersDeparted(List.of("w"), fixture.now);
    int starts = fixture.starts.size();
    advance(fixture, staying, 1_000);
    assertThat(fixture.starts).hasSize(starts);
  }

  /** Guards against the clock of an incarnation that is hardly younger than the former one was. */
  @Test
  void clockOfYoungIncarnationIsNoProof() {
    WorkerView worker = fixture.addWorker("w");
    Run run = orderOnWorker(worker);
    long sent = run.orderDeadline - TIMINGS.startOrderMillis();
    fixture.cell.startAnswered(run, new StartAnswer(StartOutcome.STARTED, sent - 200), fixture.now);
    assertThat(run.clockConfirmed).isFalse();
  }

  /** Guards against a task that waits for a lease although its order was never sent. */
  @Test
  void taskWhoseOrderWasNotSentStartsElsewhereAtOnce() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    fixture.addWorker("other");
    fixture.cell.startAnswered(run, StartAnswer.of(StartOutcome.NOT_SENT), fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(fixture.starts.get(1).run().worker().id()).isEqualTo("other");
  }

  /** Guards against a second run beside an earlier copy of the order that may be carried out. */
  @Test
  void earlierCopyOfOrderThatWasNotSentAgainMayBeCarriedOut() {
    WorkerView worker = fixture.addWorker("w");
    Run run = orderOnWorker(worker);
    fixture.addWorker("other");
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    assertThat(fixture.starts).hasSize(2);
    fixture.cell.startAnswered(run, StartAnswer.of(StartOutcome.NOT_SENT), fixture.now);
    fixture.pass();
    assertThat(worker.runs).containsKey(run.key());
    assertThat(fixture.starts).hasSize(2);
  }
}
