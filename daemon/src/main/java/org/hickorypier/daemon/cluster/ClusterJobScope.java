package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.entry.Readiness;
import org.hickorypier.daemon.job.JobScope;
import org.hickorypier.daemon.work.Dispatcher;

/** The jobs' view of the other instances. Belongs to the control thread. */
public final class ClusterJobScope implements JobScope {

  private final Cluster cluster;
  private final Readiness readiness;
  private final Dispatcher dispatcher;

  /**
   * Creates the view, and stops tasks for other instances that ask for it.
   *
   * @param cluster the other instances
   * @param readiness whether new work is taken
   * @param dispatcher stops tasks on workers that we control
   * @param requests answers the other instances
   */
  public ClusterJobScope(
      Cluster cluster, Readiness readiness, Dispatcher dispatcher, PeerRequests requests) {
    this.cluster = cluster;
    this.readiness = readiness;
    this.dispatcher = dispatcher;
    requests.answer(
        QuestionKind.STOP,
        text -> {
          dispatcher.stop(TaskId.parse(text), false);
          return Uni.createFrom().item(new byte[0]);
        });
  }

  @Override
  public boolean isHome(WorkKey key) {
    return cluster.remoteHome(key).isEmpty();
  }

  @Override
  public boolean isReady() {
    return readiness.unreadyReason().isEmpty();
  }

  @Override
  public boolean isLive(String owner) {
    return owner.equals(cluster.own().toString()) || cluster.isLive(owner);
  }

  @Override
  public void stop(TaskId taskId) {
    dispatcher.stop(taskId, false);
    cluster
        .askAll(cluster.liveOthers(), QuestionKind.STOP, taskId.text())
        .subscribe()
        .with(replies -> {});
  }
}
