package org.hickorypier.measure;

/**
 * One measured value.
 *
 * <p>Immutable.
 *
 * @param key the name, words joined by dots
 * @param value the value
 * @param unit the unit, or a dash
 */
public record Figure(String key, String value, String unit) {}
