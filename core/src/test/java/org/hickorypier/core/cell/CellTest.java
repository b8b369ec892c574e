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
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;

class CellTest {

  private static final QueueTerms LESS_URGENT =
      new QueueTerms("services", "service", 1, 2, 2, 1_000, Optional.empty());

  private final CellFixture fixture = new CellFixture(1);
  private final Cell cell = fixture.cell;

  private static EndedRun end(long number, Run run, RunEnd how) {
    return new EndedRun(number, run.key(), how, "");
  }

  @Test
  void nothingStartsBeforeTheSubmissionIsDurable() {
    fixture.worker("w");
    cell.accept(spec("s", QUEUE, step(1, 1_000, 500, false)), fixture.now);
    fixture.pass();
    assertThat(fixture.starts).isEmpty();

    fixture.write();
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);
  }

  @Test
  void completionIsShownOnlyOnceItIsDurable() {
    final WorkerView worker = fixture.worker("w");
    final Submission submission = fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.hear(worker, end(1, fixture.starts.get(0).run(), RunEnd.DONE));
    assertThat(submission.shown()).isEqualTo(SubmissionState.RUNNING);
    assertThat(worker.acknowledgedEnd(fixture.now)).isZero();

    fixture.write();
    assertThat(submission.shown()).isEqualTo(SubmissionState.COMPLETED);
    assertThat(worker.acknowledgedEnd(fixture.now)).isEqualTo(1);
  }

  /**
   * The caller's task ran twice. A successor took the submission over, heard that a task was done,
   * and told the worker to forget that end. But the change was not written, since the version of
   * what was taken over began at the number of an unchanged submission. The next owner knew of no
   * end and started the task again.
   */
  @Test
  void firstChangeOfWhatWasTakenOverIsWritten() {
    SubmissionSpec spec = spec("s", QUEUE, step(2, 1_000, 500, false));
    SubmissionProgress nothing =
        new SubmissionProgress(SubmissionState.QUEUED, 0, List.of(new BitSet()), Map.of());
    cell.restore(spec, 7, nothing, fixture.now, fixture.now);
    final WorkerView worker = fixture.worker("w");
    RunKey first = new RunKey(new TaskName("s", 0, 0, 0), 1);
    fixture.hear(worker, new EndedRun(1, first, RunEnd.DONE, ""));

    Submission submission = cell.find("s");
    assertThat(fixture.saved).contains(submission);
    assertThat(submission.worthSaving()).isTrue();
    assertThat(submission.progress().completedTasks().get(0).get(0)).isTrue();
  }

  /**
   * The caller's task ran twice at once. A worker died and came back while the store was away; an
   * order reached the new life before the list told of its birth. The owner then took all runs
   * there for gone and started them elsewhere.
   */
  @Test
  void birthInTheListTakesNoRunForGone() {
    final WorkerView worker = fixture.worker("w");
    fixture.worker("other");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    Run run = fixture.starts.get(0).run();
    WorkerView reborn = run.worker();

    fixture.list(reborn.id(), 2);
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);

    fixture.hear(reborn, 2, List.of(run.key()));
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);
    assertThat(worker.id()).isNotNull();
  }

  @Test
  void runsOfAnEarlierLifeStartElsewhereOnceTheNewLifeHasSpoken() {
    fixture.worker("w");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.advance(10);
    fixture.hear(fixture.view("w"), 2, List.of());
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
  void doubtfulLifeIsToldNoNumber() {
    final WorkerView worker = fixture.worker("w");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.hear(worker, end(1, fixture.starts.get(0).run(), RunEnd.DONE));
    fixture.write();
    assertThat(worker.acknowledgedEnd(fixture.now)).isEqualTo(1);

    cell.holdUnanswered(worker, fixture.now);
    assertThat(worker.acknowledgedEnd(fixture.now)).isZero();
    fixture.hear(worker);
    assertThat(worker.acknowledgedEnd(fixture.now)).isEqualTo(1);
    fixture.advance(3_500);
    assertThat(worker.acknowledgedEnd(fixture.now)).isZero();
  }

  /**
   * The caller waited for ever. An order had no answer and was stopped; the worker answered the
   * stop, but the owner repeated it and took the time of the last answer, which each report then
   * preceded. The first answer counts.
   */
  @Test
  void firstAnswerToStopCounts() {
    final WorkerView worker = fixture.worker("w");
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
    cell.held(worker, new RenewalReport(1, 900, List.of(), List.of()), sentAt, fixture.now);
    fixture.pass();

    assertThat(fixture.starts).hasSize(4);
    assertThat(fixture.starts.get(3).run().key().number()).isEqualTo(2);
  }

  /**
   * A worker falls silent with the caller's task. The task must not start elsewhere while a lease
   * that was ever sent may keep it running there, and must start soon after.
   */
  @Test
  void taskOfSilentWorkerWaitsForItsLease() {
    final WorkerView worker = fixture.worker("w");
    worker.nextDeadline(fixture.now, CellFixture.TERMS.leaseMillis());
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.worker("other");
    WorkerView holder = fixture.starts.get(0).run().worker();
    holder.nextDeadline(fixture.now, CellFixture.TERMS.leaseMillis());
    cell.holdUnanswered(holder, fixture.now);
    final long silentAt = fixture.now;

    fixture.advance(CellFixture.TERMS.leaseMillis());
    keepOthersFresh(holder);
    cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);

    fixture.advance(600);
    keepOthersFresh(holder);
    cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(fixture.now - silentAt).isLessThan(7_000);
  }

  /** A lasting task waited for the lease of a worker that had announced that it leaves. */
  @Test
  void taskOfDepartedWorkerStartsAtOnce() {
    final WorkerView leaving = fixture.worker("leaving");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    leaving.nextDeadline(fixture.now, CellFixture.TERMS.leaseMillis());
    fixture.worker("staying");
    fixture.list("leaving", 1, true);
    fixture.unlist("leaving");
    cell.departed(List.of("leaving"), fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(1);

    cell.holdUnanswered(leaving, fixture.now);
    cell.tick(fixture.now, fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(cell.workers()).extracting(WorkerView::id).containsExactly("staying");
  }

  @Test
  void reserveForUrgentWorkDoesNotKeepLastingTaskFromItsRestart() {
    final WorkerView worker = fixture.worker("w");
    fixture.submit(spec("service", LESS_URGENT, CellFixture.lasting(1)));
    fixture.submit(spec("checks", QUEUE, step(15, 1_000, 500, false)));
    fixture.confirmAll();
    for (int tick = 0; tick < 200; tick++) {
      cell.tick(fixture.now, fixture.now);
    }
    EndedRun[] ends = new EndedRun[fixture.starts.size()];
    for (int index = 0; index < ends.length; index++) {
      ends[index] = end(index + 1, fixture.starts.get(index).run(), RunEnd.DONE);
    }
    fixture.hear(worker, ends);
    fixture.write();
    fixture.pass();
    assertThat(fixture.starts.get(fixture.starts.size() - 1).run().key().task().submission())
        .isEqualTo("service");
    assertThat(fixture.starts).hasSize(17);
  }

  /**
   * A worker that came back under its id ran the repeated order by its new clock, past any lease.
   */
  @Test
  void orderIsNotRepeatedToWorkerThatMayHaveNewLife() {
    fixture.worker("w");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    Run run = fixture.starts.get(0).run();
    fixture.advance(1_200);
    cell.startAnswered(run, StartOutcome.UNKNOWN, fixture.now);
    assertThat(fixture.starts).hasSize(1);
    assertThat(fixture.stops).containsExactly(run.key());
  }

  /** A report that was on its way when its worker left would bring the runs back for good. */
  @Test
  void reportOfForgottenWorkerIsIgnored() {
    final WorkerView leaving = fixture.worker("leaving");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    final RunKey run = fixture.starts.get(0).run().key();
    fixture.worker("staying");
    fixture.unlist("leaving");
    cell.holdUnanswered(leaving, fixture.now);
    cell.departed(List.of("leaving"), fixture.now);
    fixture.hear(leaving, 1, List.of(run));
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
    assertThat(fixture.stops).isEmpty();
  }

  private void keepOthersFresh(WorkerView silent) {
    for (WorkerView worker : cell.workers()) {
      if (worker != silent) {
        fixture.hear(worker);
      }
    }
  }

  /**
   * After a takeover a submission's task may run on a worker that has not answered yet. It waits
   * for that worker, or for the last lease that the predecessor may have given; what came later
   * does not.
   */
  @Test
  void takenOverTaskWaitsForUnheardWorkers() {
    CellFixture successor = new CellFixture(2);
    successor.cell.restore(
        spec("old", QUEUE, step(1, 1_000, 500, false)),
        7,
        new SubmissionProgress(SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of()),
        successor.now,
        successor.now);
    successor.cell.restoreRoster(
        List.of(
            new RosterEntry(
                new WorkerEntry(
                    "dark", "service", "10.0.0.2:1", false, 0, CellFixture.CAPACITY, List.of(), 1),
                RosterEntry.OPEN)));
    successor.worker("w");
    successor.submit(spec("new", QUEUE, step(1, 1_000, 500, false)));
    assertThat(successor.starts).hasSize(1);
    assertThat(successor.starts.get(0).run().key().task().submission()).isEqualTo("new");

    successor.advance(CellFixture.TERMS.silentWorkerMillis() + 1);
    successor.confirmAll();
    successor.hear(successor.view("w"), 1, List.of(successor.starts.get(0).run().key()));
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
  void workerAtRestIsOffTheRosterUntilItMayTakeWorkAgain() {
    final WorkerView leaving = fixture.worker("leaving");
    fixture.worker("staying");
    assertThat(fixture.roster)
        .extracting(each -> each.worker().id())
        .containsExactly("leaving", "staying");

    fixture.list("leaving", 1, true);
    cell.tick(fixture.now, fixture.now);
    fixture.write();
    assertThat(fixture.roster).extracting(each -> each.worker().id()).containsExactly("staying");

    fixture.list("leaving", 1, false);
    assertThat(leaving.acceptsOrders(fixture.now)).isFalse();
    cell.tick(fixture.now, fixture.now);
    assertThat(leaving.acceptsOrders(fixture.now)).isFalse();
    fixture.write();
    assertThat(fixture.roster)
        .extracting(each -> each.worker().id())
        .containsExactly("leaving", "staying");
    assertThat(leaving.acceptsOrders(fixture.now)).isTrue();
  }

  /**
   * A worker drains with a caller's task on it and is gone when the owner is lost. What was
   * accepted before it drained may run there and waits; a check that came later cannot, and starts
   * at once.
   */
  @Test
  void takenOverTaskDoesNotWaitForWorkerClosedBeforeItCame() {
    fixture.worker("leaving");
    fixture.submit(spec("before", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.list("leaving", 1, true);
    cell.tick(fixture.now, fixture.now);
    fixture.write();
    fixture.submit(spec("after", QUEUE, step(1, 1_000, 500, false)));
    assertThat(fixture.starts).hasSize(1);

    CellFixture successor = fixture.successor(2, "before", "after");
    successor.worker("staying");
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
  void taskWaitsForEveryRunOfItThatIsBeingStopped() {
    CellFixture successor = new CellFixture(2);
    final WorkerView first = successor.worker("first");
    final WorkerView second = successor.worker("second");
    successor.cell.restore(
        spec("s", QUEUE, step(1, 1_000, 500, false)),
        7,
        new SubmissionProgress(SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of()),
        successor.now,
        successor.now);
    RunKey one = new RunKey(new TaskName("s", 0, 0, 0), 1);
    RunKey two = new RunKey(new TaskName("s", 0, 0, 0), 2);
    successor.hear(first, 1, List.of(one));
    successor.hear(second, 1, List.of(two));
    assertThat(successor.stops).containsExactly(two);
    successor.hear(first, 1, List.of(), new EndedRun(1, one, RunEnd.FAILED, ""));
    successor.write();
    successor.pass();
    assertThat(successor.starts).isEmpty();

    successor.hear(second, 1, List.of(), new EndedRun(1, two, RunEnd.STOPPED, ""));
    successor.write();
    successor.pass();
    assertThat(successor.starts).hasSize(1);
  }

  /**
   * A worker drains, and is ready again before the roster that says so is written. It must get
   * nothing until the roster that says that it is open is written: a successor that reads the other
   * would not wait for what it runs.
   */
  @Test
  void workerOpenedAgainWaitsForTheRosterThatSaysSo() {
    final WorkerView worker = fixture.worker("w");
    fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.list("w", 1, true);
    cell.tick(fixture.now, fixture.now);
    fixture.list("w", 1, false);
    cell.tick(fixture.now, fixture.now);
    fixture.write();
    assertThat(worker.acceptsOrders(fixture.now)).isFalse();
    cell.tick(fixture.now, fixture.now);
    fixture.write();
    assertThat(worker.acceptsOrders(fixture.now)).isTrue();
  }

  /** A worker that no earlier owner had on its roster got nothing from it. */
  @Test
  void takenOverTaskDoesNotWaitForWorkersThatGotNothing() {
    CellFixture successor = new CellFixture(2);
    successor.cell.restore(
        spec("old", QUEUE, step(1, 1_000, 500, false)),
        7,
        new SubmissionProgress(SubmissionState.RUNNING, 0, List.of(new BitSet()), Map.of()),
        successor.now,
        successor.now);
    successor.list("dark", 1);
    successor.worker("w");
    successor.pass();
    assertThat(successor.starts).hasSize(1);
  }

  @Test
  void customersLimitCountsWhatIsBeingStopped() {
    fixture.worker("w");
    cell.configure(List.of(new CustomerTerms("customer", 100, new Resources(2_000, 0, 0))));
    final Submission first = fixture.submit(spec("a", QUEUE, step(2, 1_000, 500, false)));
    fixture.confirmAll();
    fixture.submit(spec("b", QUEUE, step(1, 1_000, 500, false)));
    cell.cancel(first, fixture.now);
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);

    fixture.advance(10);
    fixture.hear(
        fixture.view("w"),
        end(1, fixture.starts.get(0).run(), RunEnd.STOPPED),
        end(2, fixture.starts.get(1).run(), RunEnd.STOPPED));
    fixture.pass();
    assertThat(fixture.starts).hasSize(3);
  }

  @Test
  void submissionFailsAfterItsLastAttemptOnly() {
    final WorkerView worker = fixture.worker("w");
    final Submission submission = fixture.submit(spec("s", QUEUE, step(1, 1_000, 500, false)));
    fixture.confirmAll();
    Run first = fixture.starts.get(0).run();
    fixture.hear(worker, end(1, first, RunEnd.FAILED));
    fixture.hear(worker, end(1, first, RunEnd.FAILED));
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);

    fixture.confirmAll();
    fixture.advance(10);
    fixture.hear(worker, end(2, fixture.starts.get(1).run(), RunEnd.FAILED));
    fixture.write();
    assertThat(submission.shown()).isEqualTo(SubmissionState.FAILED);
  }

  @Test
  void gangStartsWholeUnderOneNumberAndStopsWhole() {
    final WorkerView worker = fixture.worker("w");
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
  void retryOfAnEndedSubmissionRunsNothing() {
    final WorkerView worker = fixture.worker("w");
    SubmissionSpec spec = spec("s", QUEUE, step(1, 1_000, 500, false));
    fixture.submit(spec);
    fixture.confirmAll();
    fixture.hear(worker, end(1, fixture.starts.get(0).run(), RunEnd.DONE));
    for (int round = 0; round < 3; round++) {
      fixture.cell.tick(fixture.now, fixture.now);
      fixture.write();
    }
    assertThat(cell.size()).isZero();
    assertThat(cell.accept(spec, fixture.now)).isNull();
    assertThat(cell.status("s").state()).isEqualTo(SubmissionState.COMPLETED);
  }

  @Test
  void persistentTaskStartsAgainHoweverItEnds() {
    StepFlags lasting = new StepFlags(false, false, false, false, true, false);
    final WorkerView worker = fixture.worker("w");
    StepSpec step =
        new StepSpec(1, new Resources(1_000, 1, 0), 100, List.of(), lasting, "", "", 0, "", 0, 0);
    final Submission submission = fixture.submit(spec("s", QUEUE, step));
    for (int run = 0; run < 4; run++) {
      fixture.confirmAll();
      RunEnd how = run % 2 == 0 ? RunEnd.DONE : RunEnd.FAILED;
      fixture.hear(worker, end(run + 1, fixture.starts.get(run).run(), how));
      fixture.advance(50);
      fixture.hear(worker);
      fixture.pass();
    }
    assertThat(fixture.starts).hasSize(5);
    assertThat(submission.shown()).isEqualTo(SubmissionState.RUNNING);
  }

  @Test
  void retryFindsTheSameSubmission() {
    SubmissionSpec spec = spec("s", QUEUE, step(1, 1_000, 500, false));
    final Submission first = fixture.submit(spec);
    assertThat(cell.accept(spec, fixture.now)).isSameAs(first);
  }
}
