package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.TIMINGS;
import static org.hickorypier.core.cell.CellFixture.persistentStep;
import static org.hickorypier.core.cell.CellFixture.spec;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests workers that carry out calls which were sent to their former incarnations. */
class FormerIncarnationTest {

  private static final long TICK_MILLIS = 100;

  private final CellFixture fixture = new CellFixture(1);

  /** Restarts a worker under its id, lets it report twice, and starts a task on it. */
  private WorkerView restartWorkerWithTask(String id) {
    WorkerView worker = fixture.addWorker(id);
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    fixture.listWorker(id, 2);
    report(fixture, worker, 2);
    report(fixture, worker, 2);
    fixture.submit(spec("s", QUEUE, persistentStep(1)));
    fixture.confirmAll();
    assertThat(worker.runs).hasSize(1);
    return worker;
  }

  /** Lets a worker report its runs, and writes the roster. */
  private static void report(CellFixture owner, WorkerView worker, long bornMillis) {
    owner.reportFrom(worker, bornMillis, List.copyOf(worker.runs.keySet()));
    owner.cell.tick(owner.now, owner.now);
    owner.writePending();
    owner.pass();
  }

  /** Advances the time; at each tick one worker reports and the others are silent. */
  private static void advance(CellFixture owner, WorkerView reporting, long millis) {
    long until = owner.now + millis;
    while (owner.now < until) {
      owner.advance(TICK_MILLIS - 5);
      for (WorkerView worker : owner.cell.workers()) {
        if (worker != reporting) {
          owner.cell.renewalUnanswered(worker, owner.now);
        }
      }
      report(owner, reporting, reporting.bornMillis());
    }
  }

  /**
   * Guards against a second run of a task while a restarted worker that is cut off runs on under
   * the lease of a call to its former incarnation.
   */
  @Test
  void taskOfRestartedWorkerWaitsForLeaseOfFormerCall() {
    restartWorkerWithTask("restarted");
    WorkerView staying = fixture.addWorker("staying");
    advance(fixture, staying, 9_500);
    assertThat(fixture.starts).hasSize(1);

    advance(fixture, staying, 1_500);
    assertThat(fixture.starts).hasSize(2);
  }

  /** Guards against the same second run after a change of owner. */
  @Test
  void successorWaitsForLeaseOfFormerCall() {
    restartWorkerWithTask("restarted");
    CellFixture successor = fixture.successor(2, "s");
    WorkerView staying = successor.addWorker("staying");
    advance(successor, staying, 9_500);
    assertThat(successor.starts).isEmpty();

    advance(successor, staying, 1_500);
    assertThat(successor.starts).hasSize(1);
  }

  /** Guards against tasks that wait anew at each change of owner. */
  @Test
  void takeoversDoNotExtendLeaseOfFormerCall() {
    restartWorkerWithTask("restarted");
    CellFixture owner = fixture;
    for (int epoch = 2; epoch < 8; epoch++) {
      owner = owner.successor(epoch, "s");
      advance(owner, owner.addWorker("staying"), 2_000);
    }
    assertThat(owner.findWorker("staying").runs).hasSize(1);
  }

  /** Guards against calls to a former incarnation that the present one cannot tell apart. */
  @Test
  void callsToNewIncarnationCarryHigherToken() {
    WorkerView worker = fixture.addWorker("w");
    long former = worker.fencingToken();
    fixture.reportFrom(worker);
    assertThat(worker.fencingToken()).isEqualTo(former);

    fixture.reportFrom(worker, 2, List.of());
    assertThat(worker.fencingToken()).isGreaterThan(former);
    assertThat(fixture.successor(2).addWorker("other").fencingToken())
        .isGreaterThan(worker.fencingToken());
  }

  /** Guards against calls that a worker refuses since it saw a higher token before it was gone. */
  @Test
  void workerThatIsListedAgainGetsHigherToken() {
    WorkerView worker = fixture.addWorker("w");
    fixture.reportFrom(worker, 2, List.of());
    fixture.cell.renewalUnanswered(worker, fixture.now);
    fixture.unlistWorker("w");
    fixture.cell.workersDeparted(List.of("w"), fixture.now);
    assertThat(fixture.cell.workers()).isEmpty();

    fixture.listWorker("w", 3);
    WorkerView again = fixture.findWorker("w");
    assertThat(again.fencingToken()).isGreaterThan(worker.fencingToken());
    fixture.reportFrom(again, 3, List.of());
    assertThat(again.formerLeaseMillis(fixture.now)).isPositive();
  }

  /** Guards against a run that a successor does not wait for: no roster tells of its lease. */
  @Test
  void restartedWorkerGetsNoOrdersBeforeRosterIsDurable() {
    WorkerView worker = fixture.addWorker("w");
    fixture.listWorker("w", 2);
    fixture.reportFrom(worker, 2, List.of());
    fixture.cell.tick(fixture.now, fixture.now);
    assertThat(worker.isUsable(fixture.now)).isFalse();

    fixture.writePending();
    assertThat(worker.isUsable(fixture.now)).isTrue();
    assertThat(fixture.roster).allMatch(entry -> entry.formerLeaseMillis() > 0);
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

  private WorkerView restartWorker(String id) {
    WorkerView worker = fixture.addWorker(id);
    fixture.listWorker(id, 2);
    report(fixture, worker, 2);
    report(fixture, worker, 2);
    return worker;
  }

  /** Guards against a successor that is not told of the former lease of a worker without runs. */
  @Test
  void silentWorkerWithFormerLeaseStaysOnRoster() {
    WorkerView worker = restartWorker("w");
    beSilent(fixture, worker, 1_000);
    CellFixture successor = fixture.successor(2);
    successor.listWorker("w", 2);
    successor.reportFrom(successor.findWorker("w"), 2, List.of());
    assertThat(successor.findWorker("w").formerLeaseMillis(successor.now)).isPositive();
  }

  /** Guards against a roster that is written at each tick for a worker that it leaves out. */
  @Test
  void rosterRestsOnceFormerLeaseHasExpired() {
    WorkerView worker = restartWorker("w");
    beSilent(fixture, worker, 15_000);
    List<RosterEntry> before = fixture.roster;
    beSilent(fixture, worker, 5_000);
    assertThat(fixture.roster).isSameAs(before);
  }

  /** Guards against a call that is carried out late, after its worker was removed. */
  @Test
  void workerListedLateAfterItsRemovalMayHoldFormerLease() {
    WorkerView worker = fixture.addWorker("w");
    fixture.cell.renewalUnanswered(worker, fixture.now);
    fixture.unlistWorker("w");
    fixture.cell.workersDeparted(List.of("w"), fixture.now);
    fixture.advance(13_500);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.listWorker("w", 2);
    fixture.reportFrom(fixture.findWorker("w"), 2, List.of());
    assertThat(fixture.findWorker("w").formerLeaseMillis(fixture.now)).isPositive();
  }

  /** Guards against a second run beside a copy of the order that reached a later incarnation. */
  @Test
  void runWithUnansweredCopyWaitsForListedIncarnation() {
    WorkerView worker = fixture.addWorker("w");
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    fixture.submit(spec("s", QUEUE, persistentStep(1)));
    Run run = fixture.starts.get(0).run();
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    fixture.cell.startAnswered(run, StartAnswer.of(StartOutcome.STARTED), fixture.now);
    fixture.advance(100);
    fixture.reportFrom(worker, 1, List.of(run.key()));
    fixture.listWorker("w", 2);
    advance(fixture, fixture.addWorker("staying"), 9_000);
    assertThat(fixture.starts).hasSize(2);
  }

  private Run orderOnWorker(WorkerView worker) {
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    fixture.submit(spec("s", QUEUE, persistentStep(1)));
    return fixture.starts.get(0).run();
  }

  /**
   * Guards against a second run beside an order that an incarnation nobody knows of carried out.
   */
  @Test
  void runWithOrderInTransitWaitsForIncarnationThatIsNotListed() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    advance(fixture, fixture.addWorker("staying"), 11_500);
    assertThat(fixture.starts).hasSize(2);

    advance(fixture, fixture.findWorker("staying"), 1_500);
    assertThat(fixture.starts).hasSize(3);
  }

  /** Guards against the same second run after a change of owner. */
  @Test
  void successorWaitsForRunWithOrderInTransit() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    advance(fixture, fixture.addWorker("staying"), 2_000);
    CellFixture successor = fixture.successor(2, "s");
    advance(successor, successor.addWorker("staying"), 9_000);
    assertThat(successor.starts).isEmpty();

    advance(successor, successor.findWorker("staying"), 2_500);
    assertThat(successor.starts).hasSize(1);
  }

  /** Guards against a second run beside one that an incarnation nobody knows of has confirmed. */
  @Test
  void startConfirmedOnAnotherClockIsThatOfLaterIncarnation() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    long otherClock = run.orderDeadline + 60_000;
    fixture.cell.startAnswered(run, new StartAnswer(StartOutcome.STARTED, otherClock), fixture.now);
    advance(fixture, fixture.addWorker("staying"), 11_500);
    assertThat(fixture.starts).hasSize(1);
  }

  /** Guards against work that waits although its worker's clock tells that it was not restarted. */
  @Test
  void startConfirmedOnSameClockWaitsForGrantedLeaseOnly() {
    Run run = orderOnWorker(fixture.addWorker("w"));
    long sameClock = run.orderDeadline - TIMINGS.startOrderMillis() + 5;
    fixture.cell.startAnswered(run, new StartAnswer(StartOutcome.STARTED, sameClock), fixture.now);
    fixture.listWorker("w", 2);
    advance(fixture, fixture.addWorker("staying"), 4_500);
    assertThat(fixture.starts).hasSize(2);
  }

  /** Guards against a lease that a successor does not count, since its worker is off the roster. */
  @Test
  void successorExpectsFormerLeaseOfRemovedWorker() {
    WorkerView worker = fixture.addWorker("w");
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    fixture.unlistWorker("w");
    beSilent(fixture, worker, 1_000);
    fixture.cell.workersDeparted(List.of("w"), fixture.now);
    assertThat(fixture.cell.workers()).isEmpty();
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();

    CellFixture successor = fixture.successor(2);
    successor.listWorker("w", 2);
    successor.reportFrom(successor.findWorker("w"), 2, List.of());
    assertThat(successor.findWorker("w").formerLeaseMillis(successor.now)).isPositive();
  }

  /** Guards against the same for a worker that is left off the roster, since it runs nothing. */
  @Test
  void successorExpectsFormerLeaseOfSilentWorkerWithoutRuns() {
    WorkerView worker = fixture.addWorker("w");
    worker.nextDeadline(fixture.now, TIMINGS.leaseMillis());
    beSilent(fixture, worker, 5_000);
    CellFixture successor = fixture.successor(2);
    successor.listWorker("w", 2);
    successor.reportFrom(successor.findWorker("w"), 2, List.of());
    assertThat(successor.findWorker("w").formerLeaseMillis(successor.now)).isPositive();
  }

  /** Guards against calls that a former owner sent until its proof of ownership expired. */
  @Test
  void successorExpectsCallsOfFormerOwnerUntilItsProofHasExpired() {
    fixture.addWorker("w");
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    CellFixture successor = fixture.successor(2);
    successor.listWorker("w", 2);
    WorkerView worker = successor.findWorker("w");
    assertThat(worker.unknownRunsEnd())
        .isGreaterThanOrEqualTo(
            successor.now + TIMINGS.ownershipProofMillis() + TIMINGS.longestFormerLeaseMillis());
  }

  /** Guards against a restart that is not expected since an odd entry was listed before. */
  @Test
  void eachLaterIncarnationOnTheListIsExpected() {
    WorkerView worker = fixture.addWorker("w");
    fixture.listWorker("w", 9);
    fixture.listWorker("w", 1);
    fixture.reportFrom(worker);
    fixture.advance(30_000);
    fixture.reportFrom(worker);
    fixture.listWorker("w", 10);
    assertThat(worker.unknownRunsEnd()).isGreaterThan(fixture.now);
  }

  /** Lets a restarted worker report that it runs nothing, and writes the roster. */
  private void reportNoRuns(WorkerView worker) {
    fixture.reportFrom(worker, 2, List.of());
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    fixture.pass();
  }

  /** Orders a run, restarts its worker before the answer, and lists the new incarnation. */
  private Run restartWorkerUnderOrder() {
    fixture.addWorker("w");
    fixture.addWorker("other");
    fixture.submit(spec("s", QUEUE, persistentStep(1)));
    Run run = fixture.starts.get(0).run();
    fixture.listWorker(run.worker().id(), 2);
    reportNoRuns(run.worker());
    return run;
  }

  /** Guards against a second start after a stop that only the former incarnation has confirmed. */
  @Test
  void stopConfirmedByFormerIncarnationDoesNotEndRun() {
    Run run = restartWorkerUnderOrder();
    WorkerView worker = run.worker();
    fixture.cell.stopAnswered(worker, run.key(), OwnerTokens.firstOf(1), fixture.now);
    fixture.advance(10);
    reportNoRuns(worker);
    assertThat(fixture.starts).hasSize(1);

    fixture.cell.stopAnswered(worker, run.key(), worker.fencingToken(), fixture.now);
    fixture.advance(10);
    reportNoRuns(worker);
    assertThat(fixture.starts).hasSize(2);
  }

  /** Guards against a second start after an answer that came from the former incarnation. */
  @Test
  void startConfirmedByFormerIncarnationDoesNotConfirmRun() {
    Run run = restartWorkerUnderOrder();
    fixture.cell.startAnswered(run, StartAnswer.of(StartOutcome.STARTED), fixture.now);
    fixture.advance(10);
    reportNoRuns(run.worker());
    assertThat(fixture.starts).hasSize(1);
  }

  @Test
  void epochOfTokenIsThatOfItsOwner() {
    OwnerTokens tokens = new OwnerTokens(7);
    long first = tokens.latest();
    assertThat(tokens.next()).isGreaterThan(first);
    assertThat(OwnerTokens.epochOf(first)).isEqualTo(7);
    assertThat(OwnerTokens.epochOf(tokens.latest())).isEqualTo(7);
  }
}
