package org.hickorypier.daemon.cluster;

import java.util.Optional;

/** The kinds of question that instances send to one another, with their names on the wire. */
public enum QuestionKind {
  /** Take control of the worker named in the text, which its controller is releasing. */
  OFFER("offer"),
  /** Stop the task named in the text, whose owner does not control the worker. */
  STOP("stop"),
  /** Report what is known about work; the text is a {@link WorkKnowledgeQuestion}. */
  KNOWS("knows"),
  /** Report which instances were home candidates. */
  HOMES("homes"),
  /** Cancel the work named in the text. */
  CANCEL("cancel"),
  /** Explain why the work named in the text is waiting. */
  EXPLAIN("explain"),
  /** Report the applied configuration offset and how old it can be. */
  FRESHNESS("freshness"),
  /** Return the receiving instance's rows for the query in the text. */
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
   * Finds a kind by its name on the wire.
   *
   * @param name the name
   * @return the kind, or empty if the name is unknown, as from a newer version
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
