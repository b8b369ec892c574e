package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.language.DrainTarget;
import org.hickorypier.language.Statement;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResult.Accepted;

/**
 * Tells an operator that a drained name is unknown. Belongs to the control thread.
 *
 * <p>A mistyped name drains nothing, and whoever relies on the drain stops a worker that still gets
 * work. The drain is taken all the same, since a worker or instance may come back later.
 */
final class DrainRemark {

  private static final Duration LIMIT = Duration.ofSeconds(1);

  private final FleetView fleet;
  private final TimeLimit limit;

  DrainRemark(FleetView fleet, TimerService timers) {
    this.fleet = fleet;
    this.limit = new TimeLimit(timers, LIMIT);
  }

  Uni<StatementResult> addTo(StatementResult result, Statement.Change change) {
    if (change instanceof Statement.Drain drain && result instanceof Accepted accepted) {
      return limit
          .apply(isKnown(drain), DrainRemark::noAnswer)
          .onFailure()
          .recoverWithItem(true)
          .map(known -> known ? accepted : withRemark(accepted, drain.target()));
    }
    return Uni.createFrom().item(result);
  }

  private Uni<Boolean> isKnown(Statement.Drain drain) {
    String name = drain.name();
    return drain.target() == DrainTarget.WORKER
        ? fleet.workers().map(all -> all.rows().stream().anyMatch(row -> row.name().equals(name)))
        : fleet
            .instances()
            .map(all -> all.rows().stream().anyMatch(row -> row.name().equals(name)));
  }

  private static StatementResult withRemark(Accepted accepted, DrainTarget target) {
    return new Accepted(
        accepted.offset(),
        accepted.note() + "; no " + target.word() + " of that name is known now",
        accepted.inForce(),
        accepted.behind(),
        accepted.secret());
  }

  private static OperatorFailureException noAnswer() {
    return new OperatorFailureException(OperatorFailureKind.NOT_DONE, "no rows in time");
  }
}
