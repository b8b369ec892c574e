package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.Progress;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;

class CellTest {

  private static final QueueTerms LESS_URGENT =
      new QueueTerms("services", "service", 1, 2, 2, 1_000, Optional.empty());

  private final CellFixture fixture = new CellFixture(1);
  private final Cell cell = fixture.cell;

  private static EndedRun endedRun(long number, Run run, RunEnd how) {
    return new EndedRun(number, run.key(), how, "");
  }

  @Test
  void nothingStartsBeforeTheSubmissionIsDurable() {
    fixture.addWorker("w");
    cell.accept(spec("s", QUEUE, step(1, 1_000, 500, false)), fixture.now);
    fixture.pass();
    assertThat(fixture.starts).isEmpty();

    fixture.writePending();
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);
  }

  @Test
  void completionIsShownOnlyOnceItIsDurable() {
    final WorkerView worker = fixture.addWorker("w");
    final Submission submission = fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.reportFrom(worker, endedRun(1, fixture.starts.get(0).run(), RunEnd.DONE));
    assertThat(submission.visibleState()).isEqualTo(SubmissionState.RUNNING);
    assertThat(worker.acknowledged(fixture.now)).isZero();

    fixture.writePending();
    assertThat(submission.visibleState()).isEqualTo(SubmissionState.COMPLETED);
    assertThat(worker.acknowledged(fixture.now)).isEqualTo(1);
  }

  /**
   * The caller's task ran twice. A successor took the submission over, heard that a task was done,
   * and told the worker to forget that end. But the change was not written, since the version of
   * what was taken over began at the number of an unchanged submission. The next owner knew of no
   * end and started the task again.
   */
  @Test
  void firstChangeAfterTakeoverIsWrittenSoTheTaskDoesNotRunTwice() {
    SubmissionSpec spec = spec("s", QUEUE, step(2, 1_000, 500, false));
    Progress nothing = new Progress(SubmissionState.QUEUED, 0, List.of(new BitSet()), Map.of());
    cell.restore(spec, 7, nothing, fixture.now, fixture.now);
    final WorkerView worker = fixture.addWorker("w");
    RunKey first = new RunKey(new TaskName("s", 0, 0, 0), 1);
    fixture.reportFrom(worker, new EndedRun(1, first, RunEnd.DONE, ""));

    Submission submission = cell.find("s");
    assertThat(fixture.saved).contains(submission);
    assertThat(submission.needsSaving()).isTrue();
    assertThat(submission.progress().done().get(0).get(0)).isTrue();
  }

  /**
   * The caller's task ran twice at once. A worker died and came back while the store was away; an
   * order reached the new life before the list told of its birth. The owner then took all runs
   * there for gone and started them elsewhere.
   */
  @Test
  void newStartTimeInWorkerListDoesNotEndRunsOfTheRestartedWorker() {
    final WorkerView worker = fixture.addWorker("w");
    fixture.addWorker("other");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    Run run = fixture.starts.get(0).run();
    WorkerView reborn = run.worker();

    fixture.listWorker(reborn.id(), 2);
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);

    fixture.reportFrom(reborn, 2, List.of(run.key()));
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);
    assertThat(worker.id()).isNotNull();
  }

  @Test
  void runsRestartOnceTheRestartedWorkerReportsWithoutThem() {
    fixture.addWorker("w");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.advance(10);
    fixture.reportFrom(fixture.findWorker("w"), 2, List.of());
    fixture.pass();

    assertThat(fixture.starts).hasSize(2);
    assertThat(fixture.starts.get(1).run().key().number()).isEqualTo(2);
  }

  /**
   * The caller's task ran twice. A worker came back under its id and counted its ends anew. The
   * owner, which had not heard it for a while, told it the number of the earlier life, and the
   * worker forgot ends that nobody had seen.
   */
  @Test
  void noEndIsAcknowledgedWhileTheWorkerMayHaveRestarted() {
    final WorkerView worker = fixture.addWorker("w");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.reportFrom(worker, endedRun(1, fixture.starts.get(0).run(), RunEnd.DONE));
    fixture.writePending();
    assertThat(worker.acknowledged(fixture.now)).isEqualTo(1);

    cell.renewalUnanswered(worker, fixture.now);
    assertThat(worker.acknowledged(fixture.now)).isZero();
    fixture.reportFrom(worker);
    assertThat(worker.acknowledged(fixture.now)).isEqualTo(1);
    fixture.advance(3_500);
    assertThat(worker.acknowledged(fixture.now)).isZero();
  }

  /**
   * The caller waited for ever. An order had no answer and was stopped; the worker answered the
   * stop, but the owner repeated it and took the time of the last answer, which each report then
   * preceded. The first answer counts.
   */
  @Test
  void repeatedStopAnswerDoesNotDelayTheRestart() {
    final WorkerView worker = fixture.addWorker("w");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    Run run = fixture.starts.get(0).run();
    for (int copy = 0; copy < 3; copy++) {
      cell.startAnswered(run, StartOutcome.UNKNOWN, fixture.now);
    }
    assertThat(fixture.stops).contains(run.key());
    fixture.advance(10);
    cell.stopAnswered(worker, run.key(), fixture.now);
    fixture.advance(10);
    long sentAt = fixture.now;
    fixture.advance(500);
    cell.stopAnswered(worker, run.key(), fixture.now);
    cell.renewalAnswered(worker, new HoldReport(1, 900, List.of(), List.of()), sentAt, fixture.now);
    fixture.pass();

    assertThat(fixture.starts).hasSize(4);
    assertThat(fixture.starts.get(3).run().key().number()).isEqualTo(2);
  }

  /**
   * A worker falls silent with the caller's task. The task must not start elsewhere while a lease
   * that was ever sent may keep it running there, and must start soon after.
   */
  @Test
  void taskOfSilentWorkerStartsElsewhereAfterItsLeaseExpires() {
    final WorkerView worker = fixture.addWorker("w");
    worker.nextDeadline(fixture.now, CellFixture.TERMS.leaseMillis());
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.addWorker("other");
    WorkerView holder = fixture.starts.get(0).run().worker();
    holder.nextDeadline(fixture.now, CellFixture.TERMS.leaseMillis());
    cell.renewalUnanswered(holder, fixture.now);
    final long silentAt = fixture.now;

    fixture.advance(CellFixture.TERMS.leaseMillis());
    reportFromAllExcept(holder);
    cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);

    fixture.advance(600);
    reportFromAllExcept(holder);
    cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(fixture.now - silentAt).isLessThan(7_000);
  }

  /** A lasting task waited for the lease of a worker that had announced that it leaves. */
  @Test
  void taskOfDepartedWorkerRestartsWithoutWaitingForItsLease() {
    final WorkerView leaving = fixture.addWorker("leaving");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    leaving.nextDeadline(fixture.now, CellFixture.TERMS.leaseMillis());
    fixture.addWorker("staying");
    fixture.listWorker("leaving", 1, true);
    fixture.unlistWorker("leaving");
    cell.workersDeparted(List.of("leaving"), fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);

    cell.renewalUnanswered(leaving, fixture.now);
    cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(cell.workers()).extracting(WorkerView::id).containsExactly("staying");
  }

  @Test
  void urgentReserveDoesNotBlockRestartOfPersistentTask() {
    final WorkerView worker = fixture.addWorker("w");
    fixture.submit(spec("service", LESS_URGENT, CellFixture.persistentStep(1)));
    fixture.submit(spec("checks", QUEUE, step(15, 1_000, 500, false)));
    fixture.confirmAll();
    for (int tick = 0; tick < 200; tick++) {
      cell.tick(fixture.now, fixture.now);
    }
    EndedRun[] ends = new EndedRun[fixture.starts.size()];
    for (int index = 0; index < ends.length; index++) {
      ends[index] = endedRun(index + 1, fixture.starts.get(index).run(), RunEnd.DONE);
    }
    fixture.reportFrom(worker, ends);
    fixture.writePending();
    fixture.pass();
    assertThat(fixture.starts.get(fixture.starts.size() - 1).run().key().task().submission())
        .isEqualTo("service");
    assertThat(fixture.starts).hasSize(17);
  }

  /**
   * A worker that came back under its id ran the repeated order by its new clock, past any lease.
   */
  @Test
  void unansweredStartIsNotRepeatedToWorkerThatMayHaveRestarted() {
    fixture.addWorker("w");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    Run run = fixture.starts.get(0).run();
    fixture.advance(1_200);
    cell.startAnswered(run, StartOutcome.UNKNOWN, fixture.now);
    assertThat(fixture.starts).hasSize(1);
    assertThat(fixture.stops).containsExactly(run.key());
  }

  /** A report that was on its way when its worker left would bring the runs back for good. */
  @Test
  void lateReportOfRemovedWorkerIsIgnored() {
    final WorkerView leaving = fixture.addWorker("leaving");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    final RunKey run = fixture.starts.get(0).run().key();
    fixture.addWorker("staying");
    fixture.unlistWorker("leaving");
    cell.renewalUnanswered(leaving, fixture.now);
    cell.workersDeparted(List.of("leaving"), fixture.now);
    fixture.reportFrom(leaving, 1, List.of(run));
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(fixture.stops).isEmpty();
  }

  private void reportFromAllExcept(WorkerView silent) {
    for (WorkerView worker : cell.workers()) {
      if (worker != silent) {
        fixture.reportFrom(worker);
      }
    }
  }

  /**
   * After a takeover a submission's task may run on a worker that has not answered yet. It waits
   * for that worker, or for the last lease that the predecessor may have given; what came later
   * does not.
   */
  @Test
  void takenOverTaskWaitsForWorkersThatHaveNotReported() {
    CellFixture successor = new CellFixture(2);
    successor.cell.restore(
        spec("old", QUEUE, step(1, 1_000, 500, false)),
        7,
        new Progress(SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of()),
        successor.now,
        successor.now);
    successor.cell.restoreRoster(
        List.of(
            new RosterEntry(
                new WorkerEntry(
                    "dark", "service", "10.0.0.2:1", false, 0, CellFixture.CAPACITY, List.of(), 1),
                RosterEntry.OPEN)));
    successor.addWorker("w");
    successor.submit(spec("new", QUEUE, step(1, 1_000, 500, false)));
    assertThat(successor.starts).hasSize(1);
    assertThat(successor.starts.get(0).run().key().task().submission()).isEqualTo("new");

    successor.advance(CellFixture.TERMS.silentWorkerTimeoutMillis() + 1);
    successor.confirmAll();
    successor.reportFrom(
        successor.findWorker("w"), 1, List.of(successor.starts.get(0).run().key()));
    successor.pass();
    assertThat(successor.starts).hasSize(2);
    assertThat(successor.starts.get(1).run().key().number()).isGreaterThan(1_000);
  }

  /**
   * A worker drained and left, and the owner was lost soon after. The successor waited for that
   * worker for 9.9 s with all that it took over, since it might have run any of it. A worker at
   * rest is off the roster, so nobody waits for it; it gets nothing before it is on it again.
   */
  @Test
  void idleDrainingWorkerLeavesTheRosterUntilItIsReadyAgain() {
    final WorkerView leaving = fixture.addWorker("leaving");
    fixture.addWorker("staying");
    assertThat(fixture.roster)
        .extracting(each -> each.worker().id())
        .containsExactly("leaving", "staying");

    fixture.listWorker("leaving", 1, true);
    cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    assertThat(fixture.roster).extracting(each -> each.worker().id()).containsExactly("staying");

    fixture.listWorker("leaving", 1, false);
    assertThat(leaving.takesWork(fixture.now)).isFalse();
    cell.tick(fixture.now, fixture.now);
    assertThat(leaving.takesWork(fixture.now)).isFalse();
    fixture.writePending();
    assertThat(fixture.roster)
        .extracting(each -> each.worker().id())
        .containsExactly("leaving", "staying");
    assertThat(leaving.takesWork(fixture.now)).isTrue();
  }

  /**
   * A worker drains with a caller's task on it and is gone when the owner is lost. What was
   * accepted before it drained may run there and waits; a check that came later cannot, and starts
   * at once.
   */
  @Test
  void takenOverTaskDoesNotWaitForWorkerThatDrainedBeforeItWasAccepted() {
    fixture.addWorker("leaving");
    fixture.submit(spec("before", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.listWorker("leaving", 1, true);
    cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    fixture.submit(spec("after", QUEUE, step(1, 1_000, 500, false)));
    assertThat(fixture.starts).hasSize(1);

    CellFixture successor = fixture.successor(2, "before", "after");
    successor.addWorker("staying");
    successor.pass();
    assertThat(successor.starts)
        .extracting(each -> each.run().key().task().submission())
        .containsExactly("after");
  }

  /**
   * A caller's task ran twice at once. The predecessor went on for a moment beside its successor:
   * its first run failed and it ordered a second one. The successor heard of the first run, then of
   * the second, which it stopped, and then of the failure; it ordered a third run while the second
   * was still being stopped.
   */
  @Test
  void taskDoesNotStartWhileAnyOfItsRunsIsBeingStopped() {
    CellFixture successor = new CellFixture(2);
    final WorkerView first = successor.addWorker("first");
    final WorkerView second = successor.addWorker("second");
    successor.cell.restore(
        spec("s", QUEUE, step(1, 1_000, 500, false)),
        7,
        new Progress(SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of()),
        successor.now,
        successor.now);
    RunKey one = new RunKey(new TaskName("s", 0, 0, 0), 1);
    RunKey two = new RunKey(new TaskName("s", 0, 0, 0), 2);
    successor.reportFrom(first, 1, List.of(one));
    successor.reportFrom(second, 1, List.of(two));
    assertThat(successor.stops).containsExactly(two);
    successor.reportFrom(first, 1, List.of(), new EndedRun(1, one, RunEnd.FAILED, ""));
    successor.writePending();
    successor.pass();
    assertThat(successor.starts).isEmpty();

    successor.reportFrom(second, 1, List.of(), new EndedRun(1, two, RunEnd.STOPPED, ""));
    successor.writePending();
    successor.pass();
    assertThat(successor.starts).hasSize(1);
  }

  /**
   * A worker drains, and is ready again before the roster that says so is written. It must get
   * nothing until the roster that says that it is open is written: a successor that reads the other
   * would not wait for what it runs.
   */
  @Test
  void reopenedWorkerTakesNoWorkBeforeItsRosterEntryIsWritten() {
    final WorkerView worker = fixture.addWorker("w");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.listWorker("w", 1, true);
    cell.tick(fixture.now, fixture.now);
    fixture.listWorker("w", 1, false);
    cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    assertThat(worker.takesWork(fixture.now)).isFalse();
    cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    assertThat(worker.takesWork(fixture.now)).isTrue();
  }

  /** A worker that no earlier owner had on its roster got nothing from it. */
  @Test
  void takenOverTaskDoesNotWaitForWorkersOutsideTheRoster() {
    CellFixture successor = new CellFixture(2);
    successor.cell.restore(
        spec("old", QUEUE, step(1, 1_000, 500, false)),
        7,
        new Progress(SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of()),
        successor.now,
        successor.now);
    successor.listWorker("dark", 1);
    successor.addWorker("w");
    successor.pass();
    assertThat(successor.starts).hasSize(1);
  }

  @Test
  void customerLimitCountsRunsThatAreBeingStopped() {
    fixture.addWorker("w");
    cell.configure(List.of(new CustomerLimits("customer", 100, new Resources(2_000, 0, 0))));
    final Submission first = fixture.submit(spec("a", QUEUE, step(2, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.submit(spec("b", QUEUE, step(1, 1_000, 500, false)));
    cell.cancel(first, fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);

    fixture.advance(10);
    fixture.reportFrom(
        fixture.findWorker("w"),
        endedRun(1, fixture.starts.get(0).run(), RunEnd.STOPPED),
        endedRun(2, fixture.starts.get(1).run(), RunEnd.STOPPED));
    fixture.pass();
    assertThat(fixture.starts).hasSize(3);
  }

  @Test
  void submissionFailsOnlyAfterItsLastAttempt() {
    final WorkerView worker = fixture.addWorker("w");
    final Submission submission = fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    Run first = fixture.starts.get(0).run();
    fixture.reportFrom(worker, endedRun(1, first, RunEnd.FAILED));
    fixture.reportFrom(worker, endedRun(1, first, RunEnd.FAILED));
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);

    fixture.confirmAll();
    fixture.advance(10);
    fixture.reportFrom(worker, endedRun(2, fixture.starts.get(1).run(), RunEnd.FAILED));
    fixture.writePending();
    assertThat(submission.visibleState()).isEqualTo(SubmissionState.FAILED);
  }

  @Test
  void gangMembersShareOneRunNumberAndStopTogether() {
    final WorkerView worker = fixture.addWorker("w");
    fixture.submit(spec("s", QUEUE, step(3, 5_000, 500, true)));
    assertThat(fixture.starts).hasSize(3);
    assertThat(fixture.starts).allMatch(next -> next.run().key().number() == 1);

    cell.startAnswered(fixture.starts.get(0).run(), StartOutcome.STARTED, fixture.now);
    cell.startAnswered(fixture.starts.get(1).run(), StartOutcome.STARTED, fixture.now);
    cell.startAnswered(fixture.starts.get(2).run(), StartOutcome.NO_ROOM, fixture.now);
    assertThat(fixture.stops)
        .containsExactlyInAnyOrder(
            fixture.starts.get(0).run().key(), fixture.starts.get(1).run().key());
    fixture.pass();
    assertThat(fixture.starts).hasSize(3);
    assertThat(worker.freeProcessors()).isEqualTo(6_000);
  }

  /**
   * A retry arrives seconds after the acknowledgement, when the submission has ended already and is
   * kept in short form. It remains one submission: nothing runs again.
   */
  @Test
  void retryOfEndedSubmissionStartsNoRun() {
    final WorkerView worker = fixture.addWorker("w");
    SubmissionSpec spec = spec("s", QUEUE, step(1, 1_000, 500, false));
    fixture.submit(spec);
    fixture.confirmAll();
    fixture.reportFrom(worker, endedRun(1, fixture.starts.get(0).run(), RunEnd.DONE));
    for (int round = 0; round < 3; round++) {
      fixture.cell.tick(fixture.now, fixture.now);
      fixture.writePending();
    }
    assertThat(cell.size()).isZero();
    assertThat(cell.accept(spec, fixture.now)).isNull();
    assertThat(cell.status("s").state()).isEqualTo(SubmissionState.COMPLETED);
  }

  @Test
  void persistentTaskRestartsAfterSuccessAndFailure() {
    StepFlags lasting = new StepFlags(false, false, false, false, true, false);
    final WorkerView worker = fixture.addWorker("w");
    StepSpec step =
        new StepSpec(1, new Resources(1_000, 1, 0), 100, List.of(), lasting, "", "", 0, "", 0, 0);
    final Submission submission = fixture.submit(spec("s", QUEUE, step));
    for (int run = 0; run < 4; run++) {
      fixture.confirmAll();
      RunEnd how = run % 2 == 0 ? RunEnd.DONE : RunEnd.FAILED;
      fixture.reportFrom(worker, endedRun(run + 1, fixture.starts.get(run).run(), how));
      fixture.advance(50);
      fixture.reportFrom(worker);
      fixture.pass();
    }
    assertThat(fixture.starts).hasSize(5);
    assertThat(submission.visibleState()).isEqualTo(SubmissionState.RUNNING);
  }

  @Test
  void retryFindsTheSameSubmission() {
    SubmissionSpec spec = spec("s", QUEUE, step(1, 1_000, 500, false));
    final Submission first = fixture.submit(spec);
    assertThat(cell.accept(spec, fixture.now)).isSameAs(first);
  }
}
