package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import org.hickorypier.core.model.RefusalReason;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkKey;

/** A small fleet that does not change. */
final class FakeFleet implements FleetView, WorkExplainer, WorkCanceller {

  private static final WorkKey RUNNING = new WorkKey("labels", "r-1");
  private static final WorkKey WAITING = new WorkKey("labels", "r-2");
  private static final Resources SMALL = new Resources(500, 1_024, 0);

  @Override
  public Uni<FleetRows<RunningRow>> running() {
    RunningRow row =
        new RunningRow(RUNNING, WorkClass.BATCH, "norte-1", "w1", "norte-a", "rack-1", SMALL);
    return rows(row);
  }

  @Override
  public Uni<FleetRows<WaitingRow>> waiting() {
    return rows(new WaitingRow(WAITING, WorkClass.URGENT, "norte-1", "norte-a", 1, SMALL, 3));
  }

  @Override
  public Uni<FleetRows<RefusedRow>> refused() {
    WorkKey key = new WorkKey("reminders", "r-3");
    return rows(
        new RefusedRow(key, WorkClass.REQUEST, "norte-2", "norte-b", RefusalReason.QUEUE_FULL, 60));
  }

  @Override
  public Uni<FleetRows<WorkerRow>> workers() {
    Resources free = new Resources(15_500, 64_512, 2);
    return rows(new WorkerRow("w1", "norte-1", "norte-a", "rack-1", "open", 8, 7, free));
  }

  @Override
  public Uni<FleetRows<InstanceRow>> instances() {
    return rows(new InstanceRow("norte-1", "norte-a", "ready", 7, 1, 1, 1));
  }

  @Override
  public Uni<Optional<String>> explain(WorkKey key) {
    return Uni.createFrom()
        .item(
            key.equals(WAITING)
                ? Optional.of("team labels is at its upper limit of 1")
                : Optional.empty());
  }

  @Override
  public Uni<CancelOutcome> cancel(WorkKey key) {
    if (key.requestId().equals("silent")) {
      return Uni.createFrom().nothing();
    }
    return Uni.createFrom()
        .item(
            key.equals(RUNNING)
                ? CancelOutcome.CANCELLED
                : key.equals(WAITING) ? CancelOutcome.ENDED_BEFORE : CancelOutcome.NOT_FOUND);
  }

  private static <T extends TableRow> Uni<FleetRows<T>> rows(T row) {
    return Uni.createFrom().item(new FleetRows<>(List.of(row), List.of("norte-3")));
  }
}
