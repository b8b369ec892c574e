package org.hickorypier.language;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * One statement of the operators' language.
 *
 * <p>Immutable. Whatever the parser returns is well formed: columns belong to the subject, numbers
 * lie in their ranges. Whether the teams and keys it names exist is for the daemon to say.
 */
public sealed interface Statement {

  /** A statement that changes nothing. */
  sealed interface Query extends Statement {}

  /** A statement that changes something; it carries an id, under which it takes effect once. */
  sealed interface Change extends Statement {}

  /**
   * Lists the rows of a subject.
   *
   * @param subject what is asked about
   * @param conditions which all must hold of a row
   * @param ordering the order of the rows, if asked for
   * @param limit the most rows, if asked for
   */
  record Show(
      Subject subject, List<Condition> conditions, Optional<Ordering> ordering, OptionalInt limit)
      implements Query {

    /** Copies the conditions. */
    public Show {
      conditions = List.copyOf(conditions);
    }
  }

  /**
   * Counts the rows of a subject, in groups of equal values.
   *
   * @param subject what is asked about
   * @param groups the columns that make the groups, empty to count all rows
   * @param conditions which all must hold of a row
   */
  record Count(Subject subject, List<Column> groups, List<Condition> conditions) implements Query {

    /** Copies the lists. */
    public Count {
      groups = List.copyOf(groups);
      conditions = List.copyOf(conditions);
    }
  }

  /**
   * Asks why a piece of work waits.
   *
   * @param team the team
   * @param requestId the request id
   */
  record Explain(String team, String requestId) implements Query {}

  /**
   * Creates a team.
   *
   * @param team the team's name
   * @param share its weight when the cell is full
   * @param upperLimit the most tasks it may run across the fleet
   */
  record CreateTeam(String team, double share, int upperLimit) implements Change {}

  /**
   * Changes a team.
   *
   * @param team the team's name
   * @param share the new share, if it changes
   * @param upperLimit the new upper limit, if it changes
   * @param basis the team's revision that the change rests on, if given
   */
  record SetTeam(String team, OptionalDouble share, OptionalInt upperLimit, OptionalLong basis)
      implements Change {}

  /**
   * Gives a new key.
   *
   * @param team the team that gets it, or empty for the operators
   */
  record GiveKey(Optional<String> team) implements Change {}

  /**
   * Withdraws a key for good.
   *
   * @param keyId the public part of the key
   * @param basis the key's revision that the change rests on, if given
   */
  record WithdrawKey(String keyId, OptionalLong basis) implements Change {}

  /**
   * Starts or ends the draining of an instance or worker.
   *
   * @param target what sort of thing is named
   * @param name its name
   * @param draining whether it takes no new work from now on
   * @param basis the revision of the drain that the change rests on, if given
   */
  record Drain(DrainTarget target, String name, boolean draining, OptionalLong basis)
      implements Change {}

  /**
   * Cancels a piece of work.
   *
   * @param team the team
   * @param requestId the request id
   */
  record Cancel(String team, String requestId) implements Change {}
}
