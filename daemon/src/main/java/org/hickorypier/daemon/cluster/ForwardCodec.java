package org.hickorypier.daemon.cluster;

import java.util.Locale;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;
import org.hickorypier.wire.message.PeerMessage.ForwardedAnswer;
import org.hickorypier.wire.message.PeerMessage.ForwardedWork;

/**
 * Converts work and its results to peer messages and back. Thread-safe.
 *
 * <p>Deadlines are sent as the remaining time, since the clocks of two instances are unrelated.
 */
final class ForwardCodec {

  private ForwardCodec() {}

  static ForwardedWork toForwardedWork(Submission submission, int hops, long nowMillis) {
    WorkItem item = submission.item();
    return new ForwardedWork(
        0,
        item.key().team(),
        item.key().requestId(),
        item.workClass().name(),
        item.resources().milliProcessors(),
        item.resources().memoryMebibytes(),
        item.resources().accelerators(),
        item.tasks(),
        item.idempotent(),
        Math.max(0, item.deadlineMillis() - nowMillis),
        item.expectedRunMillis(),
        item.name(),
        submission.payload(),
        hops,
        submission.mayHaveRun(),
        Math.max(0, nowMillis - item.firstTriedMillis()));
  }

  static Submission toSubmission(ForwardedWork work, long nowMillis) {
    WorkItem item =
        new WorkItem(
            new WorkKey(work.team(), work.requestId()),
            WorkClass.valueOf(work.workClass()),
            work.name(),
            new Resources(work.milliProcessors(), work.memoryMebibytes(), work.accelerators()),
            work.tasks(),
            work.idempotent(),
            nowMillis,
            nowMillis + work.remainingMillis(),
            work.expectedRunMillis(),
            nowMillis - work.triedForMillis());
    return new Submission(item, work.payload(), work.mayHaveRun());
  }

  static ForwardedAnswer toForwardedAnswer(WorkResult result) {
    if (result.refusal().isPresent()) {
      Refusal refusal = result.refusal().get();
      return new ForwardedAnswer(
          0,
          result.outcome().name(),
          refusal.reason().name(),
          refusal.detail(),
          refusal.retryAfterMillis(),
          new byte[0]);
    }
    WorkResult.Answered answered = (WorkResult.Answered) result;
    return new ForwardedAnswer(
        0, answered.outcome().name(), "", answered.detail(), 0, answered.body());
  }

  static WorkResult toWorkResult(ForwardedAnswer answer) {
    Outcome outcome = Outcome.valueOf(answer.outcome().toUpperCase(Locale.ROOT));
    if (!answer.refusalReason().isEmpty()) {
      Refusal refusal =
          new Refusal(
              RefusalReason.valueOf(answer.refusalReason()),
              answer.detail(),
              answer.retryAfterMillis());
      return outcome == Outcome.NOT_RUN
          ? new WorkResult.Refused(refusal)
          : new WorkResult.Unsettled(refusal);
    }
    return new WorkResult.Answered(outcome, answer.detail(), answer.body());
  }
}
