package org.hickorypier.measure.control;

import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads a daemon's page of metrics. Holds no state. */
final class MetricsText {

  private static final String PREFIX = "hickorypier_";
  private static final String COUNTER = "_total";
  private static final Pattern LABEL = Pattern.compile("\\w+=\"([^\"]*)\"");

  private MetricsText() {}

  /** Returns the daemon's own counters, named by metric and label values joined by dots. */
  static SortedMap<String, Double> counters(String text) {
    TreeMap<String, Double> counters = new TreeMap<>();
    for (String line : text.split("\n")) {
      int space = line.lastIndexOf(' ');
      if (line.startsWith(PREFIX) && space > 0) {
        counters.put(name(line.substring(0, space)), Double.valueOf(line.substring(space + 1)));
      }
    }
    return counters;
  }

  private static String name(String series) {
    int brace = series.indexOf('{');
    String metric = brace < 0 ? series : series.substring(0, brace);
    StringBuilder name =
        new StringBuilder(metric.substring(PREFIX.length()).replace(COUNTER, "").replace('_', '.'));
    Matcher labels = LABEL.matcher(series);
    while (labels.find()) {
      name.append('.').append(labels.group(1));
    }
    return name.toString();
  }
}
