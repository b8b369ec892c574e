package org.hickorypier.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.junit.jupiter.api.Test;

/** What a caller hears while the home of its request is lost, asleep or not certain yet. */
class HomeRoutingTest {

  private static final long DEADLINE_MILLIS = 5_000;
  private static final WorkResult COMPLETED =
      new WorkResult.Answered(Outcome.COMPLETED, "", new byte[] {1});
  private static final WorkResult LOST =
      new WorkResult.Answered(Outcome.UNKNOWN, "the home was lost", new byte[0]);
  private static final WorkResult NOT_READY = unsettled(RefusalReason.NOT_READY);

  private final ManualTimerService timers = new ManualTimerService();
  private final FakeHomeDirectory homes = new FakeHomeDirectory();
  private final List<WorkResult> answers = new ArrayList<>();
  private final HomeRouting routing =
      new HomeRouting(homes, (submission, answer) -> answer.accept(COMPLETED), timers, timers);

  /** Guards against "not run", and against a caller sent away, while the home has no link. */
  @Test
  void refusedRequestIsRetriedUntilHomeIsReady() {
    homes.answers.addAll(List.of(NOT_READY, NOT_READY, COMPLETED));

    routing.route(request(true), answers::add);
    timers.advance(Duration.ofSeconds(1));

    assertThat(answers).containsExactly(COMPLETED);
    assertThat(homes.forwarded).extracting(Submission::mayHaveRun).containsOnly(false);
  }

  @Test
  void retryAfterLossMarksRequestAsPossiblyRun() {
    homes.answers.addAll(List.of(LOST, COMPLETED));

    routing.route(request(true), answers::add);
    timers.advance(Duration.ofSeconds(1));

    assertThat(answers).containsExactly(COMPLETED);
    assertThat(homes.forwarded).extracting(Submission::mayHaveRun).containsExactly(false, true);
  }

  @Test
  void nonIdempotentRequestIsNotRetriedAfterLoss() {
    homes.answers.addAll(List.of(LOST, COMPLETED));

    routing.route(request(false), answers::add);
    timers.advance(Duration.ofSeconds(1));

    assertThat(answers).containsExactly(LOST);
  }

  /** Guards against a request that ends every home it is brought to. */
  @Test
  void requestIsNotRetriedAfterThreeLosses() {
    homes.answers.addAll(List.of(LOST, LOST, LOST, LOST, LOST));

    routing.route(request(true), answers::add);
    timers.advance(Duration.ofSeconds(4));

    assertThat(answers).containsExactly(LOST);
    assertThat(homes.forwarded).hasSize(3);
  }

  @Test
  void requestWithoutReadyHomeIsAnsweredAsUnknownBeforeItsDeadline() {
    homes.defaultAnswer = NOT_READY;

    routing.route(request(true), answers::add);
    timers.advance(Duration.ofMillis(DEADLINE_MILLIS));

    assertThat(answers).extracting(WorkResult::outcome).containsExactly(Outcome.UNKNOWN);
  }

  /** Guards against a caller who hears nothing until its own patience ends, tries after tries. */
  @Test
  void transientRefusalIsReturnedWhenRetryWindowEnds() {
    homes.defaultAnswer = NOT_READY;

    routing.route(request(true, 60_000), answers::add);
    timers.advance(Duration.ofSeconds(5));

    assertThat(answers).containsExactly(NOT_READY);
  }

  @Test
  void requestRefusedForItsDeadlineIsNotRetried() {
    WorkResult tooLate = unsettled(RefusalReason.DEADLINE_TOO_NEAR);
    homes.answers.addAll(List.of(tooLate, COMPLETED));

    routing.route(request(true), answers::add);

    assertThat(answers).containsExactly(tooLate);
  }

  private static WorkResult unsettled(RefusalReason reason) {
    return new WorkResult.Unsettled(new Refusal(reason, "as the test says", 1_000));
  }

  private static Submission request(boolean idempotent) {
    return request(idempotent, DEADLINE_MILLIS);
  }

  private static Submission request(boolean idempotent, long deadlineMillis) {
    WorkItem item =
        new WorkItem(
            new WorkKey("norte", "r1"),
            WorkClass.REQUEST,
            "",
            new Resources(100, 64, 0),
            1,
            idempotent,
            0,
            deadlineMillis,
            100);
    return new Submission(item, new byte[0]);
  }

  /** Another instance is home, and answers as planned. */
  private static final class FakeHomeDirectory implements HomeDirectory {

    private final Deque<WorkResult> answers = new ArrayDeque<>();
    private final List<Submission> forwarded = new ArrayList<>();
    private WorkResult defaultAnswer;

    @Override
    public Optional<String> remoteHome(WorkKey key) {
      return Optional.of("entry-2");
    }

    @Override
    public Uni<WorkResult> forward(String home, Submission submission) {
      forwarded.add(submission);
      return Uni.createFrom().item(answers.isEmpty() ? defaultAnswer : answers.poll());
    }
  }
}
