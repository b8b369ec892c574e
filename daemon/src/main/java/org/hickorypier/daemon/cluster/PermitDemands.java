package org.hickorypier.daemon.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.permits.Holder;
import org.hickorypier.core.permits.PermitDemand;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.daemon.permit.PermitWork;
import org.hickorypier.daemon.permit.TaskOwners;
import org.hickorypier.daemon.work.WorkService;

/**
 * Computes permit demand from the scheduler's state and the digests. Confined to the control
 * thread.
 */
public final class PermitDemands implements PermitWork {

  private final Scheduler scheduler;
  private final PeerDigests digests;
  private final TaskOwners owners;
  private final WorkService work;
  private final Consumer<String> reopenWorker;

  /**
   * Creates the demand source.
   *
   * @param scheduler the local scheduler
   * @param digests the digests of the other instances
   * @param owners the instances that started the tasks on this instance's workers
   * @param work places waiting work when the number of permits changes
   * @param reopenWorker receives the name of a worker on which tasks may start
   */
  public PermitDemands(
      Scheduler scheduler,
      PeerDigests digests,
      TaskOwners owners,
      WorkService work,
      Consumer<String> reopenWorker) {
    this.scheduler = scheduler;
    this.digests = digests;
    this.owners = owners;
    this.work = work;
    this.reopenWorker = reopenWorker;
  }

  @Override
  public PermitDemand demand(String team) {
    int urgent = 0;
    int waiting = 0;
    for (WorkItem item : scheduler.queued()) {
      if (item.key().team().equals(team)) {
        waiting += item.tasks();
        urgent += item.workClass() == WorkClass.URGENT ? item.tasks() : 0;
      }
    }
    return new PermitDemand(countPlaced(team, true), waiting, urgent);
  }

  @Override
  public Map<Holder, PermitDemand> others(String team) {
    Map<Holder, PermitDemand> demands = new HashMap<>();
    digests
        .usageByInstance(team)
        .forEach(
            (peer, use) ->
                demands.put(
                    new Holder(peer.name(), peer.incarnation()),
                    new PermitDemand(use.running(), use.waiting(), 0)));
    return demands;
  }

  @Override
  public int coveredElsewhere(String team) {
    return countPlaced(team, false);
  }

  @Override
  public void use(String team, int permits) {
    scheduler.putPermits(team, permits);
    work.placeQueuedWork();
  }

  @Override
  public void mayStartOn(String worker) {
    reopenWorker.accept(worker);
  }

  private int countPlaced(String team, boolean ours) {
    List<PlacedTask> tasks = scheduler.placed();
    owners.keepOnly(tasks);
    int count = 0;
    for (PlacedTask task : tasks) {
      if (task.taskId().key().team().equals(team) && owners.isOurs(task) == ours) {
        count++;
      }
    }
    return count;
  }
}
