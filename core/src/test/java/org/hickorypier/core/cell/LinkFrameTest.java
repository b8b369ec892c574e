package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.QUEUE;
import static org.hickorypier.core.cell.CellFixture.spec;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.junit.jupiter.api.Test;

/** Tests what an owner sends to other instances in one frame of a link, however much it runs. */
class LinkFrameTest {

  private static final int MAX_FRAME_BYTES = 1 << 20;
  private static final int WORKERS = 8;
  private static final int TASKS = 60_000;
  private static final String ID = "5c0e7a2100000001";

  private final CellFixture fixture = new CellFixture(1);

  private static StepSpec step(int count) {
    return new StepSpec(
        count, new Resources(1, 1, 0), 500, List.of(), StepFlags.NONE, "", "", 0, "", 0, 0);
  }

  private void runTasks() {
    for (int index = 0; index < WORKERS; index++) {
      String id = "w" + index;
      fixture.listWorker(
          new WorkerEntry(
              id,
              "service",
              "10.0.0.1:1" + index,
              false,
              0,
              new Resources(TASKS / WORKERS, 64_000, 0),
              List.of("a", "r1"),
              1));
      fixture.reportFrom(fixture.findWorker(id));
    }
    fixture.cell.tick(fixture.now, fixture.now);
    fixture.writePending();
    fixture.submit(spec(ID, QUEUE, step(TASKS)));
    int confirmed = 0;
    while (confirmed < fixture.starts.size()) {
      List<CellFixture.StartedRun> sent =
          List.copyOf(fixture.starts.subList(confirmed, fixture.starts.size()));
      confirmed = fixture.starts.size();
      sent.forEach(
          started ->
              fixture.cell.startAnswered(
                  started.run(), StartAnswer.of(StartOutcome.STARTED), fixture.now));
      fixture.pass();
    }
    assertThat(fixture.starts).hasSize(TASKS);
  }

  private static int bytesOf(List<String> lines) {
    return lines.stream().mapToInt(line -> line.getBytes(StandardCharsets.UTF_8).length + 5).sum();
  }

  /** Guards against a final roster that closes the link to the successor each time it is sent. */
  @Test
  void finalRosterOfManyRunsFitsIntoFrame() {
    runTasks();
    List<RosterEntry> roster = fixture.cell.finalRoster(fixture.now);
    assertThat(RosterCodec.encode(roster).length).isLessThan(MAX_FRAME_BYTES);
    assertThat(roster).hasSize(WORKERS);
    assertThat(roster).anyMatch(entry -> entry.runs().isPresent());
    assertThat(roster).allMatch(entry -> entry.leaseMillis() > 0 || entry.runs().isPresent());

    CellFixture successor = fixture.successorFromStore(2);
    successor.cell.formerOwnerEnded(roster, successor.now);
    successor.cell.tick(successor.now, successor.now);
    successor.pass();
    assertThat(successor.starts).isEmpty();
  }

  /** Guards against an explanation that closes the link to the instance that was asked for it. */
  @Test
  void explanationOfManyRunsFitsIntoFrame() {
    runTasks();
    List<String> lines = fixture.cell.explain(ID, fixture.now);
    assertThat(bytesOf(lines)).isLessThan(MAX_FRAME_BYTES);
    assertThat(lines).anyMatch(line -> line.contains("and 59950 more runs"));
  }

  /** Guards against the same for a submission of many steps. */
  @Test
  void explanationOfManyStepsFitsIntoFrame() {
    StepSpec[] steps = new StepSpec[20_000];
    Arrays.fill(steps, step(1));
    fixture.submit(spec(ID, QUEUE, steps));
    List<String> lines = fixture.cell.explain(ID, fixture.now);
    assertThat(bytesOf(lines)).isLessThan(MAX_FRAME_BYTES);
    assertThat(lines).anyMatch(line -> line.contains("more steps"));
  }
}
