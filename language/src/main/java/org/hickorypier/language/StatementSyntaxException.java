package org.hickorypier.language;

/** A text that is no statement, with the place of the first error and what was expected there. */
public final class StatementSyntaxException extends Exception {

  private final int column;
  private final String expected;
  private final String found;

  /**
   * Creates the exception.
   *
   * @param column the place of the error, counted in characters from 1
   * @param expected what was expected there
   * @param found what stands there
   */
  public StatementSyntaxException(int column, String expected, String found) {
    super("column " + column + ": expected " + expected + ", found " + found);
    this.column = column;
    this.expected = expected;
    this.found = found;
  }

  /**
   * Returns the place of the error.
   *
   * @return the column, counted in characters from 1
   */
  public int column() {
    return column;
  }

  /**
   * Returns what was expected.
   *
   * @return part of a sentence
   */
  public String expected() {
    return expected;
  }

  /**
   * Returns what was found.
   *
   * @return part of a sentence
   */
  public String found() {
    return found;
  }
}
