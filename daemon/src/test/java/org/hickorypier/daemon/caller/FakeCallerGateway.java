package org.hickorypier.daemon.caller;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import org.hickorypier.core.model.Outcome;
import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.work.WorkResult;

/** A gateway whose results depend on the key and on the id of the request alone. */
final class FakeCallerGateway implements CallerGateway {

  static final String VALID_KEY = "key.secret";
  private static final String TEAM = "labels";

  @Override
  public Uni<WorkResult> run(String presentedKey, CallerRequest request) {
    if (!presentedKey.equals(VALID_KEY)) {
      return Uni.createFrom()
          .failure(new DeniedException(DenialKind.BAD_KEY, "the key is not valid", 0));
    }
    return Uni.createFrom().item(result(request));
  }

  private static WorkResult result(CallerRequest request) {
    return switch (request.requestId()) {
      case "fails" -> answered(Outcome.FAILED, "the task failed", "printer on fire");
      case "lost" -> answered(Outcome.UNKNOWN, "the worker was lost", "");
      case "gone" -> answered(Outcome.COMPLETED, "it ran before; its answer is not kept", "");
      case "full" -> refused(RefusalReason.QUEUE_FULL, "the queue is full", 1_500);
      case "late" -> refused(RefusalReason.DEADLINE_TOO_NEAR, "the wait is too long", 200);
      case "huge" -> refused(RefusalReason.NEVER_FITS, "no worker has 900 processors", 0);
      default -> answered(Outcome.COMPLETED, "", "answer to " + request.requestId());
    };
  }

  private static WorkResult answered(Outcome outcome, String detail, String body) {
    return new WorkResult.Answered(outcome, detail, body.getBytes(StandardCharsets.UTF_8));
  }

  private static WorkResult refused(RefusalReason reason, String detail, long retryAfterMillis) {
    return new WorkResult.Refused(new Refusal(reason, detail, retryAfterMillis));
  }

  @Override
  public Uni<JobView> accept(String presentedKey, CallerRequest request) {
    if (request.requestId().equals("undecided")) {
      return Uni.createFrom()
          .failure(new DeniedException(DenialKind.UNDECIDED, "ask after the job", 2_000));
    }
    return Uni.createFrom().item(view(request.requestId(), "accepted"));
  }

  @Override
  public Uni<JobView> find(String presentedKey, String requestId) {
    if (requestId.equals("none")) {
      return Uni.createFrom().failure(new DeniedException(DenialKind.NOT_FOUND, "no job none", 0));
    }
    return Uni.createFrom().item(view(requestId, "running"));
  }

  @Override
  public Uni<JobView> cancel(String presentedKey, String requestId) {
    return Uni.createFrom().item(view(requestId, "stopping"));
  }

  private static JobView view(String requestId, String state) {
    return new JobView(new WorkKey(TEAM, requestId), state, "", 7);
  }
}
