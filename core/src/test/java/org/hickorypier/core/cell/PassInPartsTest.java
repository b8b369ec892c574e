package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hickorypier.core.cell.CellFixture.spec;
import static org.hickorypier.core.cell.CellFixture.step;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepSpec;
import org.junit.jupiter.api.Test;

/** Tests scheduling passes that have to stop before they have visited all steps. */
class PassInPartsTest {

  private static final int STEPS = 100;
  private static final StepSpec SMALL = step(1, 100, 500, false);

  private final CellFixture fixture = new CellFixture(1);

  PassInPartsTest() {
    fixture.addWorker("w0");
    fixture.addWorker("w1");
  }

  private static QueueTerms queue(int priority) {
    return new QueueTerms("p" + priority, "service", priority, 3, 2, 1_000, Optional.empty());
  }

  private static StepSpec[] steps(int count) {
    StepSpec[] steps = new StepSpec[count];
    Arrays.fill(steps, SMALL);
    return steps;
  }

  /** Accepts a submission; its steps are ready from the next pass on. */
  private void accept(String id, int priority, int steps) {
    fixture.cell.accept(spec(id, queue(priority), steps(steps)), fixture.now);
    fixture.writePending();
  }

  private List<String> started() {
    return fixture.starts.stream()
        .map(start -> start.run().key().task().submission())
        .distinct()
        .toList();
  }

  /** Guards against steps that are never visited since each pass begins with the same ones. */
  @Test
  void passesThatStopEarlyVisitAllStepsOnce() {
    fixture.submit(spec("first", queue(0), SMALL));
    accept("large", 1, STEPS);
    int passes = 1;
    while (!fixture.passInPart()) {
      assertThat(fixture.cell.needsPass()).isTrue();
      fixture.confirmAll();
      passes++;
    }
    assertThat(passes).isGreaterThan(3);
    assertThat(fixture.starts).hasSize(1 + STEPS);
  }

  /** Guards against an owner that finishes a long pass although it has lost its ownership. */
  @Test
  void passThatHasToStopOrdersLittle() {
    accept("large", 0, STEPS);
    assertThat(fixture.passInPart()).isFalse();
    assertThat(fixture.starts).hasSizeLessThan(STEPS / 5);
  }

  /** Guards against urgent work that waits until a long pass has visited all steps. */
  @Test
  void urgentWorkGoesBeforeTheRestOfPass() {
    fixture.submit(spec("first", queue(0), SMALL));
    accept("large", 1, STEPS);
    fixture.passInPart();
    accept("urgent", 0, 1);
    accept("late", 1, 1);
    int starts = fixture.starts.size();
    fixture.passInPart();
    assertThat(fixture.starts.get(starts).run().key().task().submission()).isEqualTo("urgent");
    assertThat(started()).containsExactly("first", "large", "urgent");
    fixture.confirmAllInTurn();
    assertThat(started()).containsExactly("first", "large", "urgent", "late");
  }
}
