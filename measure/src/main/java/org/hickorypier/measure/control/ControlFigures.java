package org.hickorypier.measure.control;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The figures of one combination, by name.
 *
 * <p>Immutable.
 *
 * @param settings the combination
 * @param values the values of one daemon on average, by name
 */
record ControlFigures(ControlSettings settings, SortedMap<String, Double> values) {

  ControlFigures {
    values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
  }

  double value(String name) {
    return values.getOrDefault(name, 0.0);
  }
}
