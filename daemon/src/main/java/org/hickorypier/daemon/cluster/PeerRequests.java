package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.daemon.entry.Readiness;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerRequestHandler;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.daemon.work.WorkService;
import org.hickorypier.wire.message.PeerMessage.Answer;
import org.hickorypier.wire.message.PeerMessage.Failure;
import org.hickorypier.wire.message.PeerMessage.ForwardedWork;
import org.hickorypier.wire.message.PeerMessage.Question;
import org.hickorypier.wire.message.PeerMessage.Reply;
import org.hickorypier.wire.message.PeerMessage.Request;

/** Answers the other instances. Belongs to the control thread. */
public final class PeerRequests implements PeerRequestHandler {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final TimerService timers;
  private final Readiness readiness;
  private final WorkService work;
  private HomeIntake intake;
  private BiConsumer<Submission, Consumer<WorkResult>> journaled;
  private final Map<QuestionKind, Function<String, Uni<byte[]>>> answers =
      new EnumMap<>(QuestionKind.class);

  /**
   * Creates a handler which answers no questions yet.
   *
   * @param timers the time
   * @param readiness whether new work is taken
   * @param work the work decided here
   */
  public PeerRequests(TimerService timers, Readiness readiness, WorkService work) {
    this.timers = timers;
    this.readiness = readiness;
    this.work = work;
  }

  /**
   * Sets who takes in work that was forwarded to its home.
   *
   * @param homeIntake the intake
   * @param runAttempt runs attempts of journaled work that their home has sent here
   */
  public void takeInBy(
      HomeIntake homeIntake, BiConsumer<Submission, Consumer<WorkResult>> runAttempt) {
    intake = homeIntake;
    journaled = runAttempt;
    answer(QuestionKind.KNOWS, homeIntake::knows);
  }

  /**
   * Adds the answer to one kind of question.
   *
   * @param kind the kind
   * @param answer gives the answer's bytes for the question's text
   */
  public void answer(QuestionKind kind, Function<String, Uni<byte[]>> answer) {
    answers.put(kind, answer);
  }

  @Override
  public Uni<? extends Answer> handle(PeerIdentity peer, Request request) {
    if (request instanceof ForwardedWork forwarded) {
      return run(peer, forwarded);
    }
    if (request instanceof Question question) {
      return reply(question);
    }
    return Uni.createFrom().item(new Failure(0, false, "not understood"));
  }

  private Uni<Answer> run(PeerIdentity peer, ForwardedWork forwarded) {
    Submission submission = ForwardCodec.submission(forwarded, timers.nowMillis());
    return Uni.createFrom()
        .emitter(
            emitter ->
                take(
                    peer,
                    forwarded.hops(),
                    submission,
                    result -> emitter.complete(ForwardCodec.answer(result))));
  }

  private void take(
      PeerIdentity peer, int hops, Submission submission, Consumer<WorkResult> answer) {
    if (hops == Cluster.TO_HOLDER) {
      // Also while this instance takes nothing new: what is joined is in hand already.
      if (!work.join(submission, answer)) {
        answer.accept(notTaken(RefusalReason.NO_ROOM, "the work has ended meanwhile"));
      }
      return;
    }
    Optional<String> obstacle = readiness.unreadyReason();
    if (obstacle.isPresent()) {
      answer.accept(notTaken(RefusalReason.NOT_READY, obstacle.get()));
    } else if (hops == Cluster.TO_HOME) {
      intake.submit(submission, answer);
    } else if (!intake.isSettledHome(peer.name(), submission.item().key())) {
      answer.accept(notTaken(RefusalReason.NO_ROOM, "its home has changed lately"));
    } else if (submission.isJournaled()) {
      journaled.accept(submission, answer);
    } else {
      work.submitFromHome(submission, answer);
    }
  }

  private static WorkResult notTaken(RefusalReason reason, String detail) {
    return new WorkResult.Unsettled(new Refusal(reason, detail, RETRY_AFTER_MILLIS));
  }

  private Uni<Answer> reply(Question question) {
    return QuestionKind.of(question.kind())
        .map(answers::get)
        .map(answer -> answer.apply(question.text()).map(data -> (Answer) new Reply(0, data)))
        .orElseGet(
            () ->
                Uni.createFrom()
                    .item(new Failure(0, false, "unknown question " + question.kind())));
  }
}
