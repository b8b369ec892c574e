package org.hickorypier.language;

/**
 * One condition of a query.
 *
 * <p>Immutable.
 *
 * @param column the column compared
 * @param comparison how it is compared
 * @param value the value, a number's text if the column holds numbers
 */
public record Condition(Column column, Comparison comparison, String value) {}
