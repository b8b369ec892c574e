package org.hickorypier.language;

/** What the cells of a column hold. */
public enum ColumnKind {
  /** Text, compared by its characters. */
  TEXT,
  /** A number, compared by its size. */
  NUMBER
}
