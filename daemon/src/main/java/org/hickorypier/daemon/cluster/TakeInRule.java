package org.hickorypier.daemon.cluster;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.hickorypier.core.membership.FormerHomes;

/**
 * What a home does with work once other instances have told what they know of it.
 *
 * <p>Holds no state. Failures prevented: work runs a second time beside a run that goes on, and a
 * request that an earlier home ran is called not run.
 */
final class TakeInRule {

  /** The next step. */
  enum Step {
    /** Another instance has it in hand. */
    JOIN,
    /** Somebody cannot tell yet. */
    WAIT,
    /** Whoever was asked cannot answer for an earlier life or an earlier end. */
    ASK_ALL,
    /** It does not run, but it may have run before. */
    RUN_AFTER_EARLIER_TRY,
    /** Nobody has ever taken it in. */
    RUN
  }

  private TakeInRule() {}

  /**
   * Decides on the next step.
   *
   * @param lately who was home within the time in which callers come back
   * @param askedAll whether all live instances were asked, and not the former homes alone
   * @param completeHere whether the tasks on all workers of this instance are known
   * @param replies what the others know
   */
  static Step decide(
      FormerHomes lately, boolean askedAll, boolean completeHere, List<KnowsReply> replies) {
    if (any(replies, WorkKnowledge.KNOWN)) {
      return Step.JOIN;
    }
    if (!completeHere || any(replies, WorkKnowledge.INCOMPLETE)) {
      return Step.WAIT;
    }
    // A former home that lives may have started anew since, and others have its tasks.
    if (!askedAll && any(replies, WorkKnowledge.NOT_RUNNING)) {
      return Step.ASK_ALL;
    }
    Set<String> unsure = new TreeSet<>(lately.others());
    replies.stream()
        .filter(reply -> reply.knowledge() == WorkKnowledge.NEVER_TAKEN)
        .forEach(reply -> unsure.remove(reply.instance()));
    boolean never = lately.complete() && !lately.ownEarlierIncarnation() && unsure.isEmpty();
    return never ? Step.RUN : Step.RUN_AFTER_EARLIER_TRY;
  }

  private static boolean any(List<KnowsReply> replies, WorkKnowledge knowledge) {
    return replies.stream().anyMatch(reply -> reply.knowledge() == knowledge);
  }
}
