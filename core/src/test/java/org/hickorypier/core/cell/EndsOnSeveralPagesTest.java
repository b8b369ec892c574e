package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.TIMINGS;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.SubmissionState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests owners that read the ends of a worker on several pages. */
class EndsOnSeveralPagesTest {

  private static final int PAGE_SIZE = 500;
  private static final int ENDS_ON_LAST_PAGE = 300;
  private static final long TICK_MILLIS = 100;

  private final CellFixture first = new CellFixture(1);
  private final List<EndedRun> ends = new ArrayList<>();

  /** Lists a worker that has room for all tasks, lets it report, and writes the roster. */
  private static WorkerView addLargeWorker(CellFixture owner, String id) {
    listLargeWorker(owner, id, 1, false);
    WorkerView worker = owner.findWorker(id);
    owner.reportFrom(worker);
    settle(owner);
    return worker;
  }

  private static void listLargeWorker(
      CellFixture owner, String id, long bornMillis, boolean draining) {
    owner.listWorker(
        new WorkerEntry(
            id,
            "service",
            "10.0.0.1:1",
            draining,
            0,
            new Resources(10_000_000, 10_000_000, 0),
            List.of("a", "r1"),
            bornMillis));
  }

  /** Makes what was saved durable, and lets the owner start what it may. */
  private static void settle(CellFixture owner) {
    owner.cell.tick(owner.now, owner.now);
    owner.writePending();
    owner.pass();
  }

  /** Runs all tasks of a submission on one worker, where they end once the owner is gone. */
  private void endAllTasks(int pages) {
    addLargeWorker(first, "ended");
    int tasks = (pages - 1) * PAGE_SIZE + ENDS_ON_LAST_PAGE;
    first.submit(spec("s", QUEUE, step(tasks, 1_000, 500, false)));
    first.confirmAllInTurn();
    assertThat(first.starts).hasSize(tasks);
    for (CellFixture.StartedRun started : first.starts) {
      ends.add(new EndedRun(ends.size() + 1, started.run().key(), RunEnd.DONE, ""));
    }
  }

  /** Takes the cell over; a worker that has no ends answers at once. */
  private static CellFixture takeOver(CellFixture owner, int epoch) {
    CellFixture successor = owner.successorFromStore(epoch);
    listLargeWorker(successor, "ended", 1, false);
    addLargeWorker(successor, "other");
    assertThat(successor.starts).isEmpty();
    return successor;
  }

  private EndedRun[] nextPage(CellFixture owner) {
    long seen = owner.findWorker("ended").acknowledgedEnd(owner.now);
    ends.removeIf(end -> end.number() <= seen);
    return ends.stream().limit(PAGE_SIZE).toArray(EndedRun[]::new);
  }

  private int readPage(CellFixture owner) {
    EndedRun[] page = nextPage(owner);
    owner.reportFrom(owner.findWorker("ended"), page);
    owner.pass();
    settle(owner);
    return page.length;
  }

  private void readPages(CellFixture owner, int pages) {
    for (int page = 0; page < pages; page++) {
      readPage(owner);
      assertThat(owner.starts).isEmpty();
    }
  }

  /** Reads the pages that are left, the first of which may be one that was read before. */
  private void readToLastPage(CellFixture owner) {
    int read;
    do {
      read = readPage(owner);
      assertThat(owner.starts).isEmpty();
    } while (read == PAGE_SIZE);
  }

  /** Advances the time; at each tick the worker with the ends is silent and the other reports. */
  private static void advanceInSilence(CellFixture owner, long millis) {
    long until = owner.now + millis;
    while (owner.now < until) {
      owner.advance(TICK_MILLIS - 5);
      owner.cell.renewalUnanswered(owner.findWorker("ended"), owner.now);
      WorkerView other = owner.findWorker("other");
      owner.reportFrom(other, 1, List.copyOf(other.runs.keySet()));
      settle(owner);
    }
  }

  private static SubmissionState stateOf(CellFixture owner) {
    return owner.cell.find("s").state;
  }

  /** Guards against a second start of a task whose end is on a later page than the first. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5})
  void noEndedTaskStartsAgainBeforeAllPagesAreRead(int pages) {
    endAllTasks(pages);
    CellFixture owner = takeOver(first, 2);
    readPages(owner, pages);
    assertThat(stateOf(owner)).isEqualTo(SubmissionState.COMPLETED);
    assertThat(owner.starts).isEmpty();
  }

  /** Guards against a page that is full by chance and after which no page is asked for. */
  @Test
  void tasksWithoutEndStartAfterAnEmptyLastPage() {
    endAllTasks(2);
    ends.subList(PAGE_SIZE, ends.size()).clear();
    CellFixture owner = takeOver(first, 2);
    readPages(owner, 1);
    readPage(owner);
    owner.confirmAllInTurn();
    assertThat(owner.starts).hasSize(ENDS_ON_LAST_PAGE);
  }

  /** Guards against a second start while the last page is late. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 4, 5})
  void noEndedTaskStartsAgainWhileLastPageIsLate(int pages) {
    endAllTasks(pages);
    CellFixture owner = takeOver(first, 2);
    readPages(owner, pages - 1);
    WorkerView worker = owner.findWorker("ended");
    worker.nextDeadline(owner.now, TIMINGS.leaseMillis());
    final EndedRun[] lastPage = nextPage(owner);
    advanceInSilence(owner, TIMINGS.leaseMillis() - TICK_MILLIS);
    assertThat(owner.starts).isEmpty();

    owner.cell.renewalAnsweredLate(
        worker, new RenewalReport(1, 900, List.of(), List.of(lastPage)), owner.now);
    settle(owner);
    assertThat(stateOf(owner)).isEqualTo(SubmissionState.COMPLETED);
    assertThat(owner.starts).isEmpty();
  }

  /** Guards against a late report that is taken for the last page although a run is not known. */
  @Test
  void lateReportDoesNotEndTheWait() {
    endAllTasks(3);
    CellFixture owner = takeOver(first, 2);
    readPages(owner, 1);
    WorkerView worker = owner.findWorker("ended");
    owner.cell.renewalUnanswered(worker, owner.now);
    owner.cell.renewalAnsweredLate(
        worker, new RenewalReport(1, 900, List.of(), List.of()), owner.now);
    settle(owner);
    assertThat(owner.starts).isEmpty();
    readToLastPage(owner);
    assertThat(stateOf(owner)).isEqualTo(SubmissionState.COMPLETED);
  }

  /** Guards against tasks that wait for ever for a page that never comes. */
  @ParameterizedTest
  @ValueSource(ints = {2, 5})
  void tasksOfLostLastPageStartAfterLeaseExpiry(int pages) {
    endAllTasks(pages);
    CellFixture owner = takeOver(first, 2);
    readPages(owner, pages - 1);
    WorkerView worker = owner.findWorker("ended");
    worker.nextDeadline(owner.now, TIMINGS.leaseMillis());
    advanceInSilence(owner, TIMINGS.leaseMillis() - TICK_MILLIS);
    assertThat(owner.starts).isEmpty();

    advanceInSilence(owner, TIMINGS.silentWorkerTimeoutMillis());
    owner.confirmAllInTurn();
    assertThat(owner.starts).hasSize(ENDS_ON_LAST_PAGE);
  }

  /** Guards against tasks that wait for ends which their worker has lost in a crash. */
  @Test
  void tasksOfUnreadPageStartOnceWorkerHasRestarted() {
    endAllTasks(2);
    CellFixture owner = takeOver(first, 2);
    readPages(owner, 1);
    owner.reportFrom(owner.findWorker("ended"), 2, List.of());
    settle(owner);
    owner.confirmAllInTurn();
    assertThat(owner.starts).hasSize(ENDS_ON_LAST_PAGE);
  }

  /** Guards against a second start where a further owner reads the other pages. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 4, 5})
  void noEndedTaskStartsAgainAfterFurtherChangeOfOwner(int pages) {
    endAllTasks(pages);
    CellFixture second = takeOver(first, 2);
    readPages(second, 1);
    CellFixture third = takeOver(second, 3);
    readToLastPage(third);
    assertThat(stateOf(third)).isEqualTo(SubmissionState.COMPLETED);
    assertThat(third.starts).isEmpty();
  }

  /** Guards against a second start while the store accepts nothing, so that no page follows. */
  @Test
  void noEndedTaskStartsAgainWhileStoreIsSilentBetweenPages() {
    endAllTasks(3);
    CellFixture owner = takeOver(first, 2);
    readPages(owner, 1);
    for (int repeated = 0; repeated < 5; repeated++) {
      owner.reportFrom(owner.findWorker("ended"), nextPage(owner));
      owner.cell.tick(owner.now, owner.now);
      owner.pass();
      assertThat(owner.starts).isEmpty();
    }
    readToLastPage(owner);
    assertThat(stateOf(owner)).isEqualTo(SubmissionState.COMPLETED);
  }

  /**
   * Guards against a second start by an owner that the worker does not answer between two pages.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 5})
  void noEndedTaskStartsAgainWhileWorkerIsCutOffBetweenPagesOfTwoOwners(int pages) {
    endAllTasks(pages);
    CellFixture second = takeOver(first, 2);
    readPages(second, 1);
    second.findWorker("ended").nextDeadline(second.now, TIMINGS.leaseMillis());
    advanceInSilence(second, 500);
    CellFixture third = takeOver(second, 3);
    advanceInSilence(third, 500);
    assertThat(third.starts).isEmpty();
    readToLastPage(third);
    assertThat(stateOf(third)).isEqualTo(SubmissionState.COMPLETED);
    assertThat(third.starts).isEmpty();
  }

  /** Guards against a final roster that leaves out a worker whose ends are not all read. */
  @Test
  void finalRosterTellsOfUnreadEnds() {
    endAllTasks(3);
    CellFixture second = takeOver(first, 2);
    readPages(second, 1);
    nextPage(second);
    CellFixture third = takeOver(second, 3);
    third.cell.formerOwnerEnded(second.cell.finalRoster(second.now), third.now);
    settle(third);
    assertThat(third.starts).isEmpty();
    readToLastPage(third);
    assertThat(stateOf(third)).isEqualTo(SubmissionState.COMPLETED);
  }

  /** Guards against a roster that leaves out a draining worker whose ends are not all read. */
  @Test
  void rosterTellsOfUnreadEndsOfDrainingWorker() {
    endAllTasks(3);
    CellFixture second = takeOver(first, 2);
    listLargeWorker(second, "ended", 1, true);
    readPages(second, 1);
    settle(second);
    CellFixture third = takeOver(second, 3);
    readToLastPage(third);
    assertThat(stateOf(third)).isEqualTo(SubmissionState.COMPLETED);
    assertThat(third.starts).isEmpty();
  }

  /** Guards against new work that waits for the pages of ends which cannot be its own. */
  @Test
  void newSubmissionStartsBeforeAllPagesAreRead() {
    endAllTasks(3);
    CellFixture owner = takeOver(first, 2);
    readPages(owner, 1);
    owner.submit(spec("new", QUEUE, step(1, 1_000, 500, false)));
    assertThat(owner.starts).hasSize(1);
  }

  /** Guards against a limit that counts the whole room of a worker whose runs are all known. */
  @Test
  void unreadEndsDoNotCountAgainstLimits() {
    endAllTasks(3);
    CellFixture owner = takeOver(first, 2);
    owner.cell.configure(
        List.of(new CustomerLimits("customer", 1, new Resources(2_000, 10_000, 0))));
    readPages(owner, 1);
    owner.submit(spec("new", QUEUE, step(1, 1_000, 500, false)));
    assertThat(owner.starts).hasSize(1);
  }

  /** Guards against a wait that operators cannot explain. */
  @Test
  void explanationNamesWorkerWithUnreadEnds() {
    endAllTasks(2);
    CellFixture owner = takeOver(first, 2);
    readPages(owner, 1);
    assertThat(String.join("\n", owner.cell.explain("s", owner.now)))
        .contains("ended (ends not all read)");
  }
}
