package org.hickorypier.language;

/**
 * The order of the rows of a query.
 *
 * <p>Immutable.
 *
 * @param column the column that decides
 * @param descending whether the largest comes first
 */
public record Ordering(Column column, boolean descending) {}
