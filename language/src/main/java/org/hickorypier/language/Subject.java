package org.hickorypier.language;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** What a query asks about, with its columns in the order of the table. */
public enum Subject {
  /** Tasks that run. */
  RUNNING(
      Columns.TEAM,
      Columns.REQUEST,
      Columns.CLASS,
      Columns.INSTANCE,
      Columns.WORKER,
      Columns.DATA_CENTRE,
      Columns.RACK,
      Columns.PROCESSORS,
      Columns.MEMORY,
      Columns.ACCELERATORS),
  /** Work that is queued. */
  WAITING(
      Columns.TEAM,
      Columns.REQUEST,
      Columns.CLASS,
      Columns.INSTANCE,
      Columns.DATA_CENTRE,
      Columns.TASKS,
      Columns.PROCESSORS,
      Columns.MEMORY,
      Columns.ACCELERATORS,
      Columns.AGE_SECONDS),
  /** Work refused or given up on of late. */
  REFUSED(
      Columns.TEAM,
      Columns.REQUEST,
      Columns.CLASS,
      Columns.INSTANCE,
      Columns.DATA_CENTRE,
      Column.text("reason"),
      Columns.AGE_SECONDS),
  /** Workers with what is free on them. */
  WORKERS(
      Columns.WORKER,
      Columns.INSTANCE,
      Columns.DATA_CENTRE,
      Columns.RACK,
      Columns.STATE,
      Column.number("slots"),
      Column.number("free-slots"),
      Column.number("free-processors"),
      Column.number("free-memory"),
      Column.number("free-accelerators")),
  /** The instances of hickorypier. */
  INSTANCES(
      Columns.INSTANCE,
      Columns.DATA_CENTRE,
      Columns.STATE,
      Column.number("offset"),
      Column.number("workers"),
      Column.number("running"),
      Column.number("waiting")),
  /** The teams with their shares and upper limits. */
  TEAMS(
      Columns.TEAM,
      Column.number("share"),
      Column.number("limit"),
      Column.number("running"),
      Column.number("waiting"),
      Columns.REVISION),
  /** The keys, without their secrets. */
  KEYS(Column.text("key"), Column.text("holder"), Columns.STATE, Columns.REVISION);

  private final List<Column> columns;

  Subject(Column... columns) {
    this.columns = List.of(columns);
  }

  /**
   * Returns the columns.
   *
   * @return the columns in the order of the table
   */
  public List<Column> columns() {
    return columns;
  }

  /**
   * Returns the word used in statements.
   *
   * @return the name in lower case
   */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Finds a column by its name.
   *
   * @param name the name as written in statements
   * @return the column, or empty if the subject has none of that name
   */
  public Optional<Column> column(String name) {
    return columns.stream().filter(column -> column.name().equals(name)).findFirst();
  }
}
