package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.fold.FoldedId;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.language.Statement;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResult.Accepted;
import org.hickorypier.language.result.StatementResult.Conflict;
import org.hickorypier.language.result.StatementResult.Problem;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.GiveKey;
import org.hickorypier.wire.record.ConfigurationRecord.PutTeam;

/** Carries out changes of the configuration. Belongs to the control thread. */
final class ChangeExecutor {

  /** Longer than an append with its repetitions on a slow day, shorter than hickory waits. */
  private static final Duration FOLD_LIMIT = Duration.ofSeconds(5);

  /**
   * Peers tell their offsets in digests, about one a second. Three seconds cover two of them and
   * the promise of changes in force within seconds; whoever takes longer is worth naming.
   */
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(3);

  private final Supplier<Configuration> configuration;
  private final ChangePlanner planner;
  private final ChangeSubmitter submitter;
  private final ChangeProgress progress;
  private final TimeLimit foldLimit;
  private final InForceWait inForceWait;
  private final DrainRemark drainRemark;

  ChangeExecutor(
      Supplier<Configuration> configuration,
      ChangePlanner planner,
      ChangeSubmitter submitter,
      ChangeProgress progress,
      FleetView fleet,
      TimerService timers) {
    this.configuration = configuration;
    this.planner = planner;
    this.submitter = submitter;
    this.progress = progress;
    this.foldLimit = new TimeLimit(timers, FOLD_LIMIT);
    this.inForceWait = new InForceWait(progress, timers, IN_FORCE_LIMIT);
    this.drainRemark = new DrainRemark(fleet, timers);
  }

  Uni<StatementResult> execute(Statement.Change change, String id) {
    try {
      PlannedChange planned = planner.plan(change, id, configuration.get());
      return foldLimit
          .apply(submitter.submit(planned.record()), () -> notFolded(id))
          .flatMap(folded -> finish(planned, folded))
          .flatMap(result -> drainRemark.addTo(result, change));
    } catch (UnusableChangeException error) {
      return Uni.createFrom().item(problem(error.getMessage()));
    }
  }

  Accepted progressOf(long offset) {
    List<String> behind = progress.behind(offset);
    return new Accepted(offset, "", behind.isEmpty(), behind, "");
  }

  // A change that was sent may be in the log already, or get there when the outage ends. Only one
  // that is still unsent can be called not done.
  private OperatorFailureException notFolded(String id) {
    if (submitter.takeBack(id)) {
      return new OperatorFailureException(
          OperatorFailureKind.NOT_DONE, "the log takes no changes now; this one was taken back");
    }
    return new OperatorFailureException(
        OperatorFailureKind.UNKNOWN_FATE,
        "the log has not confirmed the change; it may have taken effect or may do so later");
  }

  private Uni<StatementResult> finish(PlannedChange planned, FoldedId folded) {
    if (folded.verdict() == Verdict.CONFLICT) {
      return Uni.createFrom().item(conflict(planned));
    }
    if (folded.verdict() == Verdict.INVALID) {
      return Uni.createFrom().item(problem("the change of " + planned.subject() + " is not valid"));
    }
    if (isSecretLost(planned)) {
      return Uni.createFrom()
          .item(
              problem(
                  "an earlier try of this change gave a key whose answer was lost; find it with"
                      + " show keys, withdraw it and give another"));
    }
    return inForceWait
        .behindAfterWait(folded.offset())
        .map(
            behind ->
                new Accepted(
                    folded.offset(), planned.note(), behind.isEmpty(), behind, planned.secret()));
  }

  // The operator would get a key that opens nothing: a repeated change takes effect once, with the
  // key of its first try, and this try made another one. The key in force tells them apart.
  private boolean isSecretLost(PlannedChange planned) {
    return planned.record() instanceof GiveKey give
        && !configuration.get().keys().containsKey(give.keyId());
  }

  private StatementResult conflict(PlannedChange planned) {
    long revision = Revisions.of(configuration.get(), planned.record());
    long basis = planned.record().basis();
    if (planned.record() instanceof PutTeam && basis == ChangePlanner.NEW) {
      return new Conflict(planned.subject() + " exists already, at revision " + revision);
    }
    String rests =
        basis == ConfigurationRecord.ANY_REVISION ? "" : "; this change rests on revision " + basis;
    return new Conflict(planned.subject() + " is at revision " + revision + rests);
  }

  private static StatementResult problem(String message) {
    return new Problem(message, StatementResult.NO_COLUMN);
  }
}
