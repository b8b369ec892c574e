package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.keys.KeyIssuer;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.language.Statement;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResult.Accepted;
import org.hickorypier.language.result.StatementResult.Problem;

/**
 * Carries out statements.
 *
 * <p>Belongs to the control thread. Every Uni ends within about ten seconds; it fails with an
 * {@link OperatorFailureException} if there is no result, which says whether the statement may have
 * taken effect.
 */
public final class StatementExecutor {

  /** Shorter than hickory waits for an answer, so that it hears the reason. */
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(8);

  private final QueryExecutor queries;
  private final ChangeExecutor changes;
  private final WorkCanceller canceller;
  private final TimeLimit answerLimit;

  /**
   * Creates an executor.
   *
   * @param configuration returns the configuration in force
   * @param fleet what goes on in the fleet
   * @param explainer says why work waits
   * @param canceller cancels work
   * @param submitter brings changes into the log
   * @param progress says who is behind
   * @param issuer makes keys
   * @param timers the time
   */
  public StatementExecutor(
      Supplier<Configuration> configuration,
      FleetView fleet,
      WorkExplainer explainer,
      WorkCanceller canceller,
      ChangeSubmitter submitter,
      ChangeProgress progress,
      KeyIssuer issuer,
      TimerService timers) {
    this.queries = new QueryExecutor(configuration, fleet, explainer);
    this.changes =
        new ChangeExecutor(
            configuration, new ChangePlanner(issuer), submitter, progress, fleet, timers);
    this.canceller = canceller;
    this.answerLimit = new TimeLimit(timers, ANSWER_LIMIT);
  }

  /**
   * Carries out a statement.
   *
   * @param statement the statement
   * @param changeId the id that the operator's client gave to a change, if any
   * @return the result
   */
  public Uni<StatementResult> execute(Statement statement, Optional<String> changeId) {
    if (statement instanceof Statement.Query query) {
      return answerLimit.apply(queries.execute(query), StatementExecutor::noAnswer);
    } else if (statement instanceof Statement.Cancel cancel) {
      return cancel(new WorkKey(cancel.team(), cancel.requestId()));
    }
    return changes.execute((Statement.Change) statement, ChangeId.of(changeId, statement).text());
  }

  /**
   * Says how far a change has come.
   *
   * @param offset the offset at which it was accepted
   * @return the offset with who is behind
   */
  public Accepted progressOf(long offset) {
    return changes.progressOf(offset);
  }

  private Uni<StatementResult> cancel(WorkKey key) {
    return answerLimit
        .apply(canceller.cancel(key), StatementExecutor::unknownCancellation)
        .map(outcome -> cancelled(key, outcome));
  }

  private static StatementResult cancelled(WorkKey key, CancelOutcome outcome) {
    return switch (outcome) {
      case CANCELLED -> accepted(key + " cancelled");
      case ENDED_BEFORE -> accepted(key + " had ended before");
      case NOT_FOUND -> new Problem("no instance knows work " + key, StatementResult.NO_COLUMN);
    };
  }

  private static Accepted accepted(String note) {
    return new Accepted(StatementResult.NO_OFFSET, note, true, List.of(), "");
  }

  private static OperatorFailureException noAnswer() {
    return new OperatorFailureException(
        OperatorFailureKind.NOT_DONE, "the other instances did not answer in time");
  }

  private static OperatorFailureException unknownCancellation() {
    return new OperatorFailureException(
        OperatorFailureKind.UNKNOWN_FATE,
        "the instance that has the work did not answer in time; repeat it, that is harmless");
  }
}
