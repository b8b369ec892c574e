package org.hickorypier.daemon.cluster;

import java.util.Optional;

/** The questions that instances ask one another, by the name used on the wire. */
public enum QuestionKind {
  /** Take the worker named in the text; its controller lets go of it. */
  OFFER("offer"),
  /** Stop the task named in the text; its owner does not control the worker. */
  STOP("stop"),
  /** Tell what is known there of work; the text is a {@link WorkKnowledgeQuestion}. */
  KNOWS("knows"),
  /** Tell which instances were candidates for homes. */
  HOMES("homes"),
  /** Cancel the work named in the text. */
  CANCEL("cancel"),
  /** Say why the work named in the text waits. */
  EXPLAIN("explain"),
  /** Tell which offset of the configuration is folded there, and how old it can be. */
  FRESHNESS("freshness"),
  /** Answer the query in the text with the rows of this instance. */
  QUERY("query");

  private final String wireName;

  QuestionKind(String wireName) {
    this.wireName = wireName;
  }

  /**
   * Returns the name used on the wire.
   *
   * @return the name
   */
  public String wireName() {
    return wireName;
  }

  /**
   * Finds a kind by its name.
   *
   * @param name the name on the wire
   * @return the kind, or empty for one of a newer version
   */
  public static Optional<QuestionKind> of(String name) {
    for (QuestionKind kind : values()) {
      if (kind.wireName.equals(name)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
