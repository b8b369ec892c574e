package org.hickorypier.measure;

import org.apache.commons.cli.Options;

/** One sub-command. */
public interface MeasureCommand {

  /**
   * Returns the word that calls it.
   *
   * @return the name
   */
  String name();

  /**
   * Returns a sentence for the list of commands.
   *
   * @return the sentence
   */
  String description();

  /**
   * Returns the options beside those of all commands.
   *
   * @return new options
   */
  Options options();

  /**
   * Measures.
   *
   * @param arguments the checked command line
   * @param report takes the figures
   * @throws BadArgumentException if a value is wrong
   * @throws MeasureException if the measurement fails
   */
  void run(Arguments arguments, Report report) throws BadArgumentException, MeasureException;
}
