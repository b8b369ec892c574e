package org.hickorypier.daemon.cluster;

import java.util.Locale;

/**
 * The reply to a {@link WorkKnowledgeQuestion}.
 *
 * <p>Immutable.
 *
 * @param instance the name of the instance that replied
 * @param knowledge what that instance knows about the work
 * @param triedForMillis the time since the caller first submitted the work there, in milliseconds;
 *     0 if it never did
 */
record WorkKnowledgeReply(String instance, WorkKnowledge knowledge, long triedForMillis) {

  private static final String SEPARATOR = " ";

  /**
   * Parses a reply. A missing reply, or one of another version, counts as incomplete information.
   */
  static WorkKnowledgeReply of(PeerReply reply) {
    String[] words = reply.text().orElse("").split(SEPARATOR);
    try {
      return new WorkKnowledgeReply(
          reply.instance(),
          WorkKnowledge.valueOf(words[0].toUpperCase(Locale.ROOT)),
          Long.parseLong(words[1]));
    } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException error) {
      return new WorkKnowledgeReply(reply.instance(), WorkKnowledge.INCOMPLETE, 0);
    }
  }

  String text() {
    return knowledge.name().toLowerCase(Locale.ROOT) + SEPARATOR + triedForMillis;
  }
}
