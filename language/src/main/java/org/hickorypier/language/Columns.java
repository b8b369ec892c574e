package org.hickorypier.language;

import java.util.List;

/** The columns that several subjects have. */
final class Columns {

  static final Column TEAM = Column.text("team");
  static final Column REQUEST = Column.text("request");
  static final Column CLASS =
      new Column(
          "class", ColumnKind.TEXT, List.of("urgent", "request", "service", "gang", "batch"));
  static final Column INSTANCE = Column.text("instance");
  static final Column WORKER = Column.text("worker");
  static final Column DATA_CENTRE = Column.text("data-centre");
  static final Column RACK = Column.text("rack");
  static final Column STATE = Column.text("state");
  static final Column TASKS = Column.number("tasks");
  static final Column PROCESSORS = Column.number("processors");
  static final Column MEMORY = Column.number("memory");
  static final Column ACCELERATORS = Column.number("accelerators");
  static final Column AGE_SECONDS = Column.number("age-seconds");
  static final Column REVISION = Column.number("revision");

  private Columns() {}
}
