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

/** Handles the requests of other instances. Confined to the control thread. */
public final class PeerRequestDispatcher implements PeerRequestHandler {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final TimerService timers;
  private final Readiness readiness;
  private final WorkService work;
  private HomeAdmission admission;
  private BiConsumer<Submission, Consumer<WorkResult>> attemptRunner;
  private final Map<QuestionKind, Function<String, Uni<byte[]>>> questionHandlers =
      new EnumMap<>(QuestionKind.class);

  /**
   * Creates a dispatcher without question handlers.
   *
   * @param timers the clock and the periodic timers
   * @param readiness whether this instance accepts new work
   * @param work the work that this instance schedules
   */
  public PeerRequestDispatcher(TimerService timers, Readiness readiness, WorkService work) {
    this.timers = timers;
    this.readiness = readiness;
    this.work = work;
  }

  /**
   * Sets the handlers of forwarded work.
   *
   * @param homeAdmission admits work that was forwarded to its home
   * @param runAttempt runs attempts of journaled work that their home has sent here
   */
  public void setAdmission(
      HomeAdmission homeAdmission, BiConsumer<Submission, Consumer<WorkResult>> runAttempt) {
    admission = homeAdmission;
    attemptRunner = runAttempt;
    registerQuestionHandler(QuestionKind.KNOWS, homeAdmission::answerKnowledgeQuestion);
  }

  /**
   * Registers the handler of one kind of question.
   *
   * @param kind the kind
   * @param handler returns the reply's bytes for the question's text
   */
  public void registerQuestionHandler(QuestionKind kind, Function<String, Uni<byte[]>> handler) {
    questionHandlers.put(kind, handler);
  }

  @Override
  public Uni<? extends Answer> handle(PeerIdentity peer, Request request) {
    if (request instanceof ForwardedWork forwarded) {
      return admitForwarded(peer, forwarded);
    }
    if (request instanceof Question question) {
      return answerQuestion(question);
    }
    return Uni.createFrom().item(new Failure(0, false, "unsupported request type"));
  }

  private Uni<Answer> admitForwarded(PeerIdentity peer, ForwardedWork forwarded) {
    Submission submission = ForwardCodec.toSubmission(forwarded, timers.nowMillis());
    return Uni.createFrom()
        .emitter(
            emitter ->
                admit(
                    peer,
                    forwarded.hops(),
                    submission,
                    result -> emitter.complete(ForwardCodec.toForwardedAnswer(result))));
  }

  private void admit(
      PeerIdentity peer, int hops, Submission submission, Consumer<WorkResult> answer) {
    if (hops == Cluster.HOPS_TO_HOLDER) {
      // Joins are served even while this instance accepts no new work: the work is already here.
      if (!work.join(submission, answer)) {
        answer.accept(unsettledResult(RefusalReason.NO_ROOM, "the work has already ended"));
      }
      return;
    }
    Optional<String> notReadyReason = readiness.unreadyReason();
    if (notReadyReason.isPresent()) {
      answer.accept(unsettledResult(RefusalReason.NOT_READY, notReadyReason.get()));
    } else if (hops == Cluster.HOPS_TO_HOME) {
      admission.submit(submission, answer);
    } else if (!admission.isSettledHome(peer.name(), submission.item().key())) {
      answer.accept(unsettledResult(RefusalReason.NO_ROOM, "the work's home has changed recently"));
    } else if (submission.isJournaled()) {
      attemptRunner.accept(submission, answer);
    } else {
      work.submitFromHome(submission, answer);
    }
  }

  private static WorkResult unsettledResult(RefusalReason reason, String detail) {
    return new WorkResult.Unsettled(new Refusal(reason, detail, RETRY_AFTER_MILLIS));
  }

  private Uni<Answer> answerQuestion(Question question) {
    return QuestionKind.of(question.kind())
        .map(questionHandlers::get)
        .map(handler -> handler.apply(question.text()).map(data -> (Answer) new Reply(0, data)))
        .orElseGet(
            () ->
                Uni.createFrom()
                    .item(new Failure(0, false, "unknown question kind " + question.kind())));
  }
}
