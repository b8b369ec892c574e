package org.hickorypier.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown for unusable settings. Lists every problem, so that a single start reveals all of them.
 */
public final class SettingsException extends Exception {

  private final transient List<SettingProblem> problems;

  /**
   * Creates the exception.
   *
   * @param problems all problems, at least one
   */
  public SettingsException(List<SettingProblem> problems) {
    super(describe(problems));
    this.problems = List.copyOf(problems);
  }

  /**
   * Returns all problems.
   *
   * @return the problems, in the order of the settings
   */
  public List<SettingProblem> problems() {
    return problems;
  }

  private static String describe(List<SettingProblem> problems) {
    String lines =
        problems.stream().map(problem -> "  " + problem).collect(Collectors.joining("\n"));
    return "settings: " + problems.size() + " problems\n" + lines;
  }
}
