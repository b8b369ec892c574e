package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.TIMINGS;
import static org.hickorypier.core.cell.CellFixture.persistentStep;
import static org.hickorypier.core.cell.CellFixture.spec;

import java.util.List;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;

/** Tests how a successor accounts for the leases that earlier owners granted. */
class TakenOverLeaseTest {

  private static final long TICK_MILLIS = 100;

  private final CellFixture fixture = new CellFixture(1);

  /** Starts a persistent task on a worker that is then silent for some time. */
  private WorkerView silenceWorkerWithTask(String id, long silentMillis) {
    WorkerView leaving = fixture.addWorker("leaving-" + id);
    leaving.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    fixture.submit(spec(id, QUEUE, persistentStep(1)));
    fixture.confirmAll();
    fixture.cell.renewalUnanswered(leaving, fixture.now);
    advance(fixture, silentMillis);
    return leaving;
  }

  /** Advances the time; at each tick every staying worker reports and the others are silent. */
  private static void advance(CellFixture owner, long millis) {
    long until = owner.now + millis;
    while (owner.now < until) {
      owner.advance(TICK_MILLIS - 5);
      for (WorkerView worker : owner.cell.workers()) {
        if (worker.id().startsWith("staying")) {
          List<RunKey> running = List.copyOf(worker.runs.keySet());
          owner.reportFrom(worker, worker.bornMillis(), running);
        } else if (!worker.silent) {
          owner.cell.renewalUnanswered(worker, owner.now);
        }
      }
      owner.cell.tick(owner.now, owner.now);
      owner.writePending();
      owner.pass();
    }
  }

  /**
   * Guards against a takeover that waits for a new full lease of a worker which was silent before.
   */
  @Test
  void taskOfLostWorkerRestartsAtLeaseExpiryDespiteTakeover() {
    silenceWorkerWithTask("s", 1_000);
    CellFixture successor = fixture.successor(2, "s");
    successor.addWorker("staying");
    advance(successor, TIMINGS.leaseMillis() - 1_100);
    assertThat(successor.starts).isEmpty();

    advance(successor, 1_500);
    assertThat(successor.starts).hasSize(1);
  }

  /**
   * Guards against a task that never restarts because each takeover restarts the wait for its
   * worker.
   */
  @Test
  void repeatedTakeoversDoNotExtendTheWaitForLostWorker() {
    silenceWorkerWithTask("s", 1_000);
    CellFixture owner = fixture;
    for (int epoch = 2; epoch < 8; epoch++) {
      owner = owner.successor(epoch, "s");
      owner.addWorker("staying");
      advance(owner, 1_200);
    }
    assertThat(owner.findWorker("staying").runs).hasSize(1);
  }

  /** Guards against tasks that the lost worker cannot have, but that wait for its lease. */
  @Test
  void onlyTasksThatLostWorkerMayRunWaitForItsLease() {
    silenceWorkerWithTask("lost", 1_000);
    fixture.submit(spec("waiting", QUEUE, persistentStep(1)));
    CellFixture successor = fixture.successor(2, "lost", "waiting");
    successor.addWorker("staying");
    successor.pass();
    assertThat(successor.starts)
        .extracting(each -> each.run().key().task().submission())
        .containsExactly("waiting");
  }

  /**
   * Guards against a task that runs twice: a successor would read the old roster and assume that
   * the renewed lease has expired.
   */
  @Test
  void workerWithExpiringLeaseOnRosterIsNotRenewedBeforeNewRosterIsDurable() {
    WorkerView worker = silenceWorkerWithTask("s", 1_000);
    assertThat(fixture.roster).noneMatch(RosterEntry::renewed);

    fixture.reportFrom(worker, worker.bornMillis(), List.copyOf(worker.runs.keySet()));
    assertThat(worker.nextDeadline(fixture.now, TIMINGS.leaseMillis())).isNegative();
    fixture.cell.tick(fixture.now, fixture.now);
    assertThat(worker.nextDeadline(fixture.now, TIMINGS.leaseMillis())).isNegative();
    fixture.writePending();
    assertThat(fixture.roster).allMatch(RosterEntry::renewed);
    assertThat(worker.nextDeadline(fixture.now, TIMINGS.leaseMillis())).isPositive();
  }

  /**
   * Guards against a task that runs twice: one answer of the worker does not end a lease that an
   * earlier owner granted.
   */
  @Test
  void leaseOfEarlierOwnerCountsUntilExpiryAfterWorkerAnsweredOnce() {
    WorkerView worker = silenceWorkerWithTask("s", 1_000);
    CellFixture successor = fixture.successor(2, "s");
    successor.addWorker("staying");
    WorkerView heard = successor.findWorker(worker.id());
    successor.reportFrom(heard, 1, List.copyOf(heard.runs.keySet()));
    successor.cell.renewalUnanswered(heard, successor.now);
    advance(successor, TIMINGS.leaseMillis() - 1_100);
    assertThat(successor.starts).isEmpty();
    advance(successor, 1_500);
    assertThat(successor.starts).hasSize(1);
  }

  /**
   * Guards against a stop of the current run because the roster lists an earlier run of the task.
   */
  @Test
  void reportedLaterRunContinuesWhenRosterListsEarlierRun() {
    silenceWorkerWithTask("s", 1_000);
    CellFixture successor = fixture.successor(2, "s");
    WorkerView staying = successor.addWorker("staying");
    RunKey later = new RunKey(new TaskName("s", 0, 0, 0), 2);
    successor.reportFrom(staying, 1, List.of(later));
    assertThat(successor.stops).doesNotContain(later);
  }

  /**
   * A worker that leaves at the moment of the handover is still open on the durable roster. Without
   * the former owner's final roster, tasks that the worker cannot have would wait for it.
   */
  @Test
  void finalRosterOfFormerOwnerReplacesOutdatedDurableRoster() {
    final WorkerView leaving = silenceWorkerWithTask("s", 0);
    fixture.submit(spec("waiting", QUEUE, persistentStep(1)));
    CellFixture successor = fixture.successor(2, "s", "waiting");
    successor.addWorker("staying");
    successor.pass();
    assertThat(successor.starts).isEmpty();

    List<RosterEntry> left = fixture.cell.finalRoster(fixture.now);
    assertThat(left).extracting(each -> each.worker().id()).containsExactly(leaving.id());
    successor.cell.formerOwnerEnded(left, successor.now);
    successor.pass();
    assertThat(successor.starts)
        .extracting(each -> each.run().key().task().submission())
        .containsExactly("waiting");

    advance(successor, TIMINGS.leaseMillis() - 200);
    assertThat(successor.findWorker("staying").runs).hasSize(1);
    advance(successor, 700);
    assertThat(successor.findWorker("staying").runs).hasSize(2);
  }

  /**
   * Guards against tasks that wait for a silent worker although the former owner had no runs there.
   */
  @Test
  void workerWithoutRunsAtHandoverBlocksNoTask() {
    WorkerView leaving = fixture.addWorker("leaving");
    fixture.cell.renewalUnanswered(leaving, fixture.now);
    fixture.submit(spec("s", QUEUE, persistentStep(1)));
    CellFixture successor = fixture.successor(2, "s");
    successor.addWorker("staying");
    successor.pass();
    assertThat(successor.starts).isEmpty();

    successor.cell.formerOwnerEnded(fixture.cell.finalRoster(fixture.now), successor.now);
    successor.pass();
    assertThat(successor.starts).hasSize(1);
  }

  /**
   * Guards against a second run of a task whose end only the former owner knew; the worker reports
   * the end again.
   */
  @Test
  void taskWhoseEndWasNotDurableAtHandoverDoesNotRunAgain() {
    WorkerView worker = fixture.addWorker("w");
    fixture.submit(spec("s", QUEUE, CellFixture.step(1, 1_000, 500, false)));
    fixture.confirmAll();
    CellFixture successor = fixture.successor(2, "s");
    RunKey run = fixture.starts.get(0).run().key();
    EndedRun end = new EndedRun(1, run, RunEnd.DONE, "");
    fixture.reportFrom(worker, end);
    successor.addWorker("staying");
    successor.cell.formerOwnerEnded(fixture.cell.finalRoster(fixture.now), successor.now);
    successor.pass();
    assertThat(successor.starts).isEmpty();

    successor.reportFrom(successor.findWorker("w"), end);
    successor.writePending();
    successor.pass();
    assertThat(successor.starts).isEmpty();
    assertThat(successor.cell.find("s").visibleState()).isEqualTo(SubmissionState.COMPLETED);
  }

  @Test
  void departedWorkerStaysOnFinalRosterUntilItsEndsAreDurable() {
    final WorkerView leaving = fixture.addWorker("leaving");
    fixture.submit(spec("s", QUEUE, CellFixture.step(1, 1_000, 500, false)));
    fixture.confirmAll();
    RunKey run = fixture.starts.get(0).run().key();
    fixture.reportFrom(leaving, new EndedRun(1, run, RunEnd.DONE, ""));
    fixture.cell.renewalUnanswered(leaving, fixture.now);
    fixture.unlistWorker("leaving");
    fixture.cell.workersDeparted(List.of("leaving"), fixture.now);
    assertThat(fixture.cell.finalRoster(fixture.now)).hasSize(1);

    fixture.writePending();
    fixture.cell.tick(fixture.now, fixture.now);
    assertThat(fixture.cell.finalRoster(fixture.now)).isEmpty();
    assertThat(fixture.cell.workers()).isEmpty();
  }

  /** The report of a worker is newer than the state known to the former owner. */
  @Test
  void finalRosterDoesNotChangeWorkersThatHaveAnswered() {
    WorkerView worker = silenceWorkerWithTask("s", 0);
    List<RosterEntry> left = fixture.cell.finalRoster(fixture.now);
    CellFixture successor = fixture.successor(2, "s");
    WorkerView heard = successor.findWorker(worker.id());
    successor.reportFrom(heard);
    successor.cell.formerOwnerEnded(left, successor.now);
    assertThat(heard.runs).isEmpty();
  }

  /** Guards against a stop of the gang's current run because the roster lists an earlier one. */
  @Test
  void reportedLaterRunOfGangContinuesWhenRosterListsEarlierRun() {
    final WorkerView leaving = fixture.addWorker("leaving");
    fixture.addWorker("other");
    fixture.submit(spec("g", QUEUE, CellFixture.step(2, 9_000, 500, true)));
    fixture.confirmAll();
    fixture.listWorker("leaving", 1, true);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();

    CellFixture successor = fixture.successor(2, "g");
    RunKey member = leaving.runs.keySet().iterator().next();
    RunKey later = new RunKey(member.task(), 2);
    successor.reportFrom(successor.addWorker("staying"), 1, List.of(later));
    assertThat(successor.stops).contains(member).doesNotContain(later);
  }

  @Test
  void renewalAfterLongSilenceCarriesNoDeadline() {
    WorkerView worker = fixture.addWorker("w");
    assertThat(worker.nextDeadline(fixture.now, TIMINGS.leaseMillis())).isPositive();
    fixture.advance(6_000);
    assertThat(worker.nextDeadline(fixture.now, TIMINGS.leaseMillis())).isNegative();
  }

  @Test
  void rosterIsUnchangedByEncodingAndDecoding() throws Exception {
    silenceWorkerWithTask("s", 1_000);
    assertThat(RosterCodec.decode(RosterCodec.encode(fixture.roster))).isEqualTo(fixture.roster);
  }
}
