package org.hickorypier.language.result;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * What the daemon answers to a statement. Immutable. In JSON the field {@code kind} tells which.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = StatementResult.Table.class, name = "table"),
  @JsonSubTypes.Type(value = StatementResult.Accepted.class, name = "accepted"),
  @JsonSubTypes.Type(value = StatementResult.Conflict.class, name = "conflict"),
  @JsonSubTypes.Type(value = StatementResult.Problem.class, name = "problem"),
})
public sealed interface StatementResult {

  /** The offset of a change that needed no record in the log. */
  long NO_OFFSET = -1;

  /** The column of a problem that is no error of syntax. */
  int NO_COLUMN = 0;

  /**
   * The rows that a query asked for.
   *
   * @param columns the names of the columns
   * @param rows the rows, each as long as the list of columns
   * @param missing the instances that did not answer, whose rows are therefore not in the table
   */
  record Table(List<String> columns, List<List<Cell>> rows, List<String> missing)
      implements StatementResult {

    /** Copies the lists. */
    public Table {
      columns = List.copyOf(columns);
      rows = rows.stream().map(List::copyOf).toList();
      missing = List.copyOf(missing);
    }
  }

  /**
   * A change that the log has taken.
   *
   * @param offset its offset, or {@link #NO_OFFSET}
   * @param note one sentence about what was done
   * @param inForce whether every live instance has folded it
   * @param behind the instances that have not
   * @param secret the new key as {@code keyId.secret}, shown this once; empty otherwise
   */
  record Accepted(long offset, String note, boolean inForce, List<String> behind, String secret)
      implements StatementResult {

    /** Copies the list. */
    public Accepted {
      behind = List.copyOf(behind);
    }

    // A record's own text form would bring the secret into logs and test reports.
    @Override
    public String toString() {
      String shown = secret.isEmpty() ? "" : ", secret=********";
      return "Accepted[offset=" + offset + ", note=" + note + ", behind=" + behind + shown + "]";
    }
  }

  /**
   * A change that came after another one to the same subject, so it did not take effect.
   *
   * @param message one sentence
   */
  record Conflict(String message) implements StatementResult {}

  /**
   * A statement that cannot be carried out, so it did not take effect.
   *
   * @param message one sentence
   * @param column the place of an error of syntax, counted from 1; else {@link #NO_COLUMN}
   */
  record Problem(String message, int column) implements StatementResult {}
}
