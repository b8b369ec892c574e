package org.hickorypier.language;

import java.util.function.IntPredicate;

/** How a condition compares a cell with its value. */
public enum Comparison {
  /** The same. */
  EQUAL("=", order -> order == 0),
  /** Not the same. */
  NOT_EQUAL("!=", order -> order != 0),
  /** Less than the value. */
  LESS("<", order -> order < 0),
  /** Less than the value, or the same. */
  AT_MOST("<=", order -> order <= 0),
  /** More than the value. */
  MORE(">", order -> order > 0),
  /** More than the value, or the same. */
  AT_LEAST(">=", order -> order >= 0);

  private final String symbol;
  private final IntPredicate predicate;

  Comparison(String symbol, IntPredicate predicate) {
    this.symbol = symbol;
    this.predicate = predicate;
  }

  /**
   * Returns the symbol used in statements.
   *
   * @return one or two characters
   */
  public String symbol() {
    return symbol;
  }

  /**
   * Tells whether the condition holds.
   *
   * @param order the cell compared with the value, as by {@link Comparable#compareTo}
   * @return true if it holds
   */
  public boolean holds(int order) {
    return predicate.test(order);
  }
}
