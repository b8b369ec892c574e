package org.hickorypier.cli;

/** How results are printed. */
enum OutputFormat {
  /** Text for people. */
  TABLE,
  /** One line of JSON for each statement. */
  JSON
}
