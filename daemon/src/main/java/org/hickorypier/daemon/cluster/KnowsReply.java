package org.hickorypier.daemon.cluster;

import java.util.Locale;

/**
 * The answer to a {@link KnowsQuestion}.
 *
 * <p>Immutable.
 *
 * @param instance who answered
 * @param knowledge what is known there
 * @param triedForMillis how long ago the work's caller first asked there, 0 if it did not
 */
record KnowsReply(String instance, WorkKnowledge knowledge, long triedForMillis) {

  private static final String SEPARATOR = " ";

  /** Reads an answer; one that is missing or of another version says nothing. */
  static KnowsReply of(PeerReply reply) {
    String[] words = reply.text().orElse("").split(SEPARATOR);
    try {
      return new KnowsReply(
          reply.instance(),
          WorkKnowledge.valueOf(words[0].toUpperCase(Locale.ROOT)),
          Long.parseLong(words[1]));
    } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException error) {
      return new KnowsReply(reply.instance(), WorkKnowledge.INCOMPLETE, 0);
    }
  }

  String text() {
    return knowledge.name().toLowerCase(Locale.ROOT) + SEPARATOR + triedForMillis;
  }
}
