package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.submission.StepSpec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EvacuationsTest {

  private static final long EVACUATION_MILLIS = 5_000;

  private final CellFixture fixture =
      new CellFixture(1, CellFixture.TIMINGS.withEvacuationMillis(EVACUATION_MILLIS));

  @BeforeEach
  void addWorkers() {
    read();
    addWorker("north-1", "north", 0);
    addWorker("south-1", "south", 0);
  }

  private WorkerView addWorker(String id, String dataCentre, long coldMillis) {
    fixture.listWorker(
        new WorkerEntry(
                id, "service", "10.0.0.1:1", false, 0, CellFixture.CAPACITY, List.of("a", "r1"), 1)
            .in(dataCentre, coldMillis));
    WorkerView worker = fixture.findWorker(id);
    fixture.reportFrom(worker);
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    return worker;
  }

  private void read(String... dataCentres) {
    fixture.cell.evacuationsRead(
        new EvacuationReading(Set.of(dataCentres), fixture.now), fixture.now);
  }

  private Submission submit(String id, StepSpec step) {
    return fixture.submit(CellFixture.spec(id, CellFixture.QUEUE, step));
  }

  private List<String> startedOn() {
    return fixture.starts.stream().map(start -> start.run().worker().id()).toList();
  }

  private static StepSpec smallTasks(int count) {
    return CellFixture.step(count, 1_000, 600, false);
  }

  @Test
  void nothingStartsInEvacuatedDataCentre() {
    read("north");
    submit("0000000000000001", smallTasks(40));
    assertThat(startedOn()).hasSize(16).containsOnly("south-1");
  }

  @Test
  void tasksStartAgainOnceEvacuationIsWithdrawn() {
    read("north", "south");
    submit("0000000000000001", smallTasks(20));
    assertThat(fixture.starts).isEmpty();
    read("south");
    fixture.pass();
    assertThat(startedOn()).hasSize(16).containsOnly("north-1");
  }

  @Test
  void unknownDataCentreExcludesNoWorker() {
    read("west");
    submit("0000000000000001", smallTasks(32));
    assertThat(startedOn()).hasSize(32);
  }

  /** Guards against starts on a worker whose entry lacks the data centre that is evacuated. */
  @Test
  void workerInUnknownDataCentreGetsNothingDuringAnyEvacuation() {
    addWorker("somewhere", "", 0);
    read("north", "south");
    submit("0000000000000001", smallTasks(1));
    assertThat(fixture.starts).isEmpty();
  }

  @Test
  void gangIsNotStartedInPart() {
    read("north");
    submit("0000000000000001", CellFixture.step(20, 1_000, 600, true));
    assertThat(fixture.starts).isEmpty();
    read();
    fixture.pass();
    assertThat(fixture.starts).hasSize(20);
  }

  @Test
  void activeRunsContinue() {
    submit("0000000000000001", smallTasks(32));
    read("north");
    fixture.pass();
    assertThat(fixture.stops).isEmpty();
  }

  /** Guards against an owner that starts tasks although it can no longer read the requests. */
  @Test
  void nothingStartsWhenEvacuationsWereReadTooLongAgo() {
    fixture.advance(2_600);
    reportAll();
    submit("0000000000000001", smallTasks(1));
    assertThat(fixture.starts).hasSize(1);
    fixture.advance(100);
    reportAll();
    submit("0000000000000002", smallTasks(1));
    assertThat(fixture.starts).hasSize(1);
    read();
    fixture.pass();
    assertThat(fixture.starts).hasSize(2);
  }

  private void reportAll() {
    fixture.cell.workers().forEach(fixture::reportFrom);
  }

  /** Guards against a new owner that starts tasks before it has read the requests. */
  @Test
  void newOwnerStartsNothingBeforeItsFirstRead() {
    CellFixture successor =
        new CellFixture(2, CellFixture.TIMINGS.withEvacuationMillis(EVACUATION_MILLIS));
    successor.addWorker("north-1");
    successor.submit(CellFixture.spec("0000000000000001", CellFixture.QUEUE, smallTasks(1)));
    assertThat(successor.starts).isEmpty();
  }

  /** Guards against an order without an answer that is sent again after the request. */
  @Test
  void unansweredOrderIsNotSentAgainToEvacuatedWorker() {
    submit("0000000000000001", smallTasks(1));
    Run run = fixture.starts.get(0).run();
    read("north", "south");
    fixture.cell.startAnswered(run, StartAnswer.MISSING, fixture.now);
    assertThat(fixture.starts).hasSize(1);
    assertThat(fixture.stops).containsExactly(run.key());
  }

  /** Guards against a step that waits for tickets of workers that it may not use any more. */
  @Test
  void adviceIsRequestedAnewWhenReservedWorkersAreEvacuated() {
    StepSpec step = CellFixture.step(1, 16_000, 600, false);
    fixture.submit(CellFixture.spec("0000000000000001", CellFixture.ADVISED, step));
    CellFixture.AdviceRequest first = fixture.adviceRequests.get(0);
    fixture.cell.adviceAnswered(
        first.step(), first.workers(), Map.of("north-1", "t", "south-1", "t"), 100, fixture.now);
    fixture.advance(200);
    reportAll();
    fixture.pass();
    List<WorkerView> reserved = fixture.adviceRequests.get(1).workers();
    assertThat(reserved).hasSize(1);
    read(reserved.get(0).entry().dataCentre());
    fixture.pass();
    assertThat(fixture.adviceRequests).hasSize(3);
    assertThat(fixture.adviceRequests.get(2).workers()).doesNotContainAnyElementsOf(reserved);
  }

  @Test
  void coldWorkersAreUsedWhenOthersAreFull() {
    addWorker("south-2", "south", 3_000);
    submit("0000000000000001", smallTasks(34));
    assertThat(startedOn().stream().filter("south-2"::equals)).hasSize(2);
  }

  /** Guards against a worker that stays cold as long as its last entry is listed. */
  @Test
  void coldTimeEndsAlthoughTheEntryIsListedAgain() {
    WorkerView worker = addWorker("south-2", "south", 300);
    fixture.advance(200);
    fixture.pass();
    assertThat(worker.isCold(fixture.now)).isTrue();
    fixture.advance(200);
    fixture.pass();
    assertThat(worker.isCold(fixture.now)).isFalse();
  }

  @Test
  void waitReasonNamesEvacuatedWorkers() {
    read("north", "south");
    submit("0000000000000001", smallTasks(1));
    assertThat(fixture.cell.explain("0000000000000001", fixture.now).toString())
        .contains("without 2 workers in evacuated data centres");
  }

  @Test
  void beginAndEndAreLogged() {
    read("north");
    fixture.advance(700);
    read();
    assertThat(fixture.events)
        .anyMatch(event -> event.contains("evacuation-began [data_centre, north]"))
        .anyMatch(event -> event.contains("evacuation-ended [data_centre, north, lasted_ms, 700]"));
  }
}
