package org.hickorypier.daemon.cluster;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.hickorypier.core.membership.FormerHomes;

/**
 * Decides what a home instance does with submitted work after the other instances have reported
 * what they know about it.
 *
 * <p>Stateless and thread-safe. The rule prevents two failures: a second run of work that is still
 * running, and a "not run" answer to a request that an earlier home ran.
 */
final class AdmissionRule {

  /** The next step. */
  enum Step {
    /** Wait for the result of another instance that has the work. */
    JOIN,
    /** Ask the caller to retry, since an instance does not have complete information yet. */
    WAIT,
    /**
     * Ask all live instances, since the former homes cannot answer for their earlier incarnations
     * or for work that has ended.
     */
    ASK_ALL,
    /** Run the work, which is not running but may have run before. */
    RUN_AFTER_EARLIER_TRY,
    /** Run the work, which no instance has ever accepted. */
    RUN
  }

  private AdmissionRule() {}

  /**
   * Decides on the next step.
   *
   * @param recentHomes the homes within the period in which callers retry
   * @param askedAll whether all live instances were asked, and not the former homes alone
   * @param allWorkerTasksKnown whether the tasks on all workers of this instance are known
   * @param replies the replies of the other instances
   */
  static Step decide(
      FormerHomes recentHomes,
      boolean askedAll,
      boolean allWorkerTasksKnown,
      List<WorkKnowledgeReply> replies) {
    if (hasReply(replies, WorkKnowledge.KNOWN)) {
      return Step.JOIN;
    }
    if (!allWorkerTasksKnown || hasReply(replies, WorkKnowledge.INCOMPLETE)) {
      return Step.WAIT;
    }
    // A live former home may have restarted since, and other instances have adopted its tasks.
    if (!askedAll && hasReply(replies, WorkKnowledge.NOT_RUNNING)) {
      return Step.ASK_ALL;
    }
    Set<String> uncertainHomes = new TreeSet<>(recentHomes.others());
    replies.stream()
        .filter(reply -> reply.knowledge() == WorkKnowledge.NEVER_TAKEN)
        .forEach(reply -> uncertainHomes.remove(reply.instance()));
    boolean isFirstRun =
        recentHomes.complete() && !recentHomes.ownEarlierIncarnation() && uncertainHomes.isEmpty();
    return isFirstRun ? Step.RUN : Step.RUN_AFTER_EARLIER_TRY;
  }

  private static boolean hasReply(List<WorkKnowledgeReply> replies, WorkKnowledge knowledge) {
    return replies.stream().anyMatch(reply -> reply.knowledge() == knowledge);
  }
}
