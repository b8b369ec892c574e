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

/** Tests the results that callers get while the home of a request is lost, paused or not ready. */
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

  /**
   * Guards against a caller that is refused, or told "not run", while the home is not ready because
   * it has no link.
   */
  @Test
  void refusedRequestIsRetriedUntilHomeIsReady() {
    homes.answers.addAll(List.of(NOT_READY, NOT_READY, COMPLETED));

    routing.route(request(true), answers::add);
    timers.advance(Duration.ofSeconds(1));

    assertThat(answers).containsExactly(COMPLETED);
    assertThat(homes.forwarded).extracting(Submission::mayHaveRun).containsOnly(false);
  }

  /** Guards against a certain "not run" from the next home after the lost home may have run it. */
  @Test
  void retryAfterLossMarksRequestAsPossiblyRun() {
    homes.answers.addAll(List.of(LOST, COMPLETED));

    routing.route(request(true), answers::add);
    timers.advance(Duration.ofSeconds(1));

    assertThat(answers).containsExactly(COMPLETED);
    assertThat(homes.forwarded).extracting(Submission::mayHaveRun).containsExactly(false, true);
  }

  /** Guards against a second run of a request that the lost home may already have run. */
  @Test
  void nonIdempotentRequestIsNotRetriedAfterLoss() {
    homes.answers.addAll(List.of(LOST, COMPLETED));

    routing.route(request(false), answers::add);
    timers.advance(Duration.ofSeconds(1));

    assertThat(answers).containsExactly(LOST);
  }

  /** Guards against a request that brings down every home to which it is routed. */
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

  /**
   * Guards against a caller that gets no answer before its own timeout, on every attempt, because
   * transient refusals are retried until the deadline.
   */
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
    return new WorkResult.Unsettled(new Refusal(reason, "refused by the test", 1_000));
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

  /** A directory with a remote home that returns scripted results, then a default result. */
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
