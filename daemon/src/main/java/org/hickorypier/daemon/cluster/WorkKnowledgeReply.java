package org.hickorypier.daemon.cluster;

import java.util.Locale;

/**
 * The answer to a {@link WorkKnowledgeQuestion}.
 *
 * <p>Immutable.
 *
 * @param instance who answered
 * @param knowledge what is known there
 * @param triedForMillis how long ago the work's caller first asked there, 0 if it did not
 */
record WorkKnowledgeReply(String instance, WorkKnowledge knowledge, long triedForMillis) {

  private static final String SEPARATOR = " ";

  /** Reads an answer; one that is missing or of another version says nothing. */
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
