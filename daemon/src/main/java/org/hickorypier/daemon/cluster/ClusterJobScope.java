package org.hickorypier.daemon.cluster;

import io.smallrye.mutiny.Uni;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.entry.Readiness;
import org.hickorypier.daemon.job.JobScope;
import org.hickorypier.daemon.work.Dispatcher;

/** The view of the cluster that job execution uses. Confined to the control thread. */
public final class ClusterJobScope implements JobScope {

  private final Cluster cluster;
  private final Readiness readiness;
  private final Dispatcher dispatcher;

  /**
   * Creates the view and registers the handler that stops tasks for other instances.
   *
   * @param cluster this instance's view of the other instances
   * @param readiness whether this instance accepts new work
   * @param dispatcher stops tasks on the workers that this instance controls
   * @param requests the dispatcher to register question handlers with
   */
  public ClusterJobScope(
      Cluster cluster, Readiness readiness, Dispatcher dispatcher, PeerRequestDispatcher requests) {
    this.cluster = cluster;
    this.readiness = readiness;
    this.dispatcher = dispatcher;
    requests.registerQuestionHandler(
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
    return owner.equals(cluster.localIdentity().toString()) || cluster.isLive(owner);
  }

  @Override
  public void stop(TaskId taskId) {
    dispatcher.stop(taskId, false);
    cluster
        .askAll(cluster.liveOtherInstances(), QuestionKind.STOP, taskId.text())
        .subscribe()
        .with(replies -> {});
  }
}
