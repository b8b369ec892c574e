package org.hickorypier.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The figures of one run, and the directory for its plots.
 *
 * <p>Not thread safe.
 */
public final class Report {

  private final List<Figure> figures = new ArrayList<>();
  private final Path directory;

  /**
   * Creates an empty report.
   *
   * @param directory where plots go, or null for none
   */
  public Report(Path directory) {
    this.directory = directory;
  }

  /**
   * Adds a figure.
   *
   * @param key the name
   * @param value the value, printed with four significant digits
   * @param unit the unit
   */
  public void add(String key, double value, String unit) {
    figures.add(new Figure(key, format(value), unit));
  }

  /**
   * Adds the least, the median and the largest of the seeds' values.
   *
   * @param key the name
   * @param spread the values
   * @param unit the unit
   */
  public void add(String key, Spread spread, String unit) {
    add(key + ".min", spread.least(), unit);
    add(key + ".median", spread.median(), unit);
    add(key + ".max", spread.most(), unit);
  }

  /**
   * Adds whether an aim was met.
   *
   * @param key the name of the aim
   * @param met whether it was met
   */
  public void aim(String key, boolean met) {
    figures.add(new Figure("aim." + key, met ? "met" : "missed", "-"));
  }

  /**
   * Writes a plot, if there is a directory.
   *
   * @param fileName the name of the file
   * @param content its text
   * @throws MeasureException if it cannot be written
   */
  public void plot(String fileName, String content) throws MeasureException {
    if (directory == null) {
      return;
    }
    try {
      Files.createDirectories(directory);
      Files.writeString(directory.resolve(fileName), content);
    } catch (IOException e) {
      throw new MeasureException("cannot write " + directory.resolve(fileName), e);
    }
  }

  /**
   * Returns the figures so far.
   *
   * @return a copy
   */
  public List<Figure> figures() {
    return List.copyOf(figures);
  }

  private static String format(double value) {
    if (value == Math.rint(value) && Math.abs(value) < 1e12) {
      return String.valueOf((long) value);
    }
    return String.format(Locale.ROOT, "%.4g", value);
  }
}
