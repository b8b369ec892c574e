package org.hickorypier.language;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** The help of one statement. Immutable. */
public enum StatementHelp {
  /** Help of show. */
  SHOW(
      "show",
      "show SUBJECT [where COLUMN = VALUE and ...] [order by COLUMN [asc|desc]] [limit N]",
      "Lists what runs, waits or was refused of late, the workers, instances, teams or keys.\n"
          + "Text compares by = and !=, numbers also by < <= > >=.\n"
          + subjects(),
      "show waiting where team = labels and class = urgent order by age-seconds desc limit 10"),
  /** Help of count. */
  COUNT(
      "count",
      "count SUBJECT [by COLUMN, ...] [where COLUMN = VALUE and ...]",
      "Counts rows in groups of equal values; the largest group comes first.\n"
          + "Subjects and columns are those of show.",
      "count running by team, class where data-centre = norte-a"),
  /** Help of explain. */
  EXPLAIN(
      "explain", "explain TEAM/REQUEST", "Says why a request or job waits.", "explain labels/r-17"),
  /** Help of create. */
  CREATE(
      "create",
      "create team NAME share NUMBER limit N",
      "Creates a team with its share, which counts when the cell is full, and its upper limit,\n"
          + "the most tasks that it may run across the fleet.",
      "create team labels share 2 limit 40"),
  /** Help of set. */
  SET(
      "set",
      "set team NAME [share NUMBER] [limit N] [at revision N]",
      "Changes the share, the upper limit or both. What is not named stays. With a lower limit\n"
          + "running work goes on, and nothing new starts until the team is below it.",
      "set team labels limit 20 at revision 3"),
  /** Help of give. */
  GIVE(
      "give",
      "give key to team NAME | give key to operators",
      "Makes a new key and shows it once; only a salted hash of it is kept.",
      "give key to team labels"),
  /** Help of withdraw. */
  WITHDRAW(
      "withdraw",
      "withdraw key ID [at revision N]",
      "Withdraws a key for good. ID is the part before the dot; show keys lists them.",
      "withdraw key k1"),
  /** Help of drain. */
  DRAIN(
      "drain",
      "drain instance|worker NAME [at revision N]",
      "Gives an instance or worker no new work. What runs there goes on.",
      "drain worker norte-a-07"),
  /** Help of undrain. */
  UNDRAIN(
      "undrain",
      "undrain instance|worker NAME [at revision N]",
      "Gives a drained instance or worker new work again.",
      "undrain worker norte-a-07"),
  /** Help of cancel. */
  CANCEL(
      "cancel",
      "cancel TEAM/REQUEST",
      "Cancels a request or job, waiting or running.",
      "cancel labels/r-17");

  private final String verb;
  private final String usage;
  private final String description;
  private final String example;

  StatementHelp(String verb, String usage, String description, String example) {
    this.verb = verb;
    this.usage = usage;
    this.description = description;
    this.example = example;
  }

  /**
   * Finds the help of a statement.
   *
   * @param verb its first word
   * @return the help, or empty if there is no such statement
   */
  public static Optional<StatementHelp> of(String verb) {
    return Arrays.stream(values()).filter(help -> help.verb.equalsIgnoreCase(verb)).findFirst();
  }

  /**
   * Returns the first word of the statement.
   *
   * @return the verb
   */
  public String verb() {
    return verb;
  }

  /**
   * Returns the form of the statement.
   *
   * @return one line, names of parts in upper case
   */
  public String usage() {
    return usage;
  }

  /**
   * Returns what the statement does.
   *
   * @return one or more lines
   */
  public String description() {
    return description;
  }

  /**
   * Returns an example that parses.
   *
   * @return one statement
   */
  public String example() {
    return example;
  }

  private static String subjects() {
    return Arrays.stream(Subject.values())
        .map(StatementHelp::describe)
        .collect(Collectors.joining("\n", "Subjects and their columns:\n", ""));
  }

  private static String describe(Subject subject) {
    List<String> names = subject.columns().stream().map(Column::name).toList();
    return "  " + subject.word() + ": " + String.join(", ", names);
  }
}
